package leader

import (
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/tuning"
)

// heartbeatIntervals returns the length of some heartbeat intervals.
func (l *Leader) heartbeatIntervals(n float64) time.Duration {
	return seconds(l.Config.Deployment.Workers.ReportS * n)
}

// schedulableSilence is how long a machine may be silent and still be given new work.
func (l *Leader) schedulableSilence() time.Duration {
	return l.heartbeatIntervals(tuning.SchedulableHeartbeats)
}

// unreachableAfter is how long a machine may be silent before it is called directly,
// or counts as not heard of.
func (l *Leader) unreachableAfter() time.Duration {
	return l.heartbeatIntervals(tuning.MissedHeartbeats)
}

// expectedToReport tells whether heartbeats of a machine are expected: it was up, or
// tasks may be there.
func expectedToReport(machine *cluster.Machine) bool {
	return !machine.Deprovisioning && (machine.Up || len(machine.Placements) > 0)
}

// silence is how long nothing was heard of a machine.
func (l *Leader) silence(machine *cluster.Machine, now time.Time) time.Duration {
	if !machine.Up {
		return now.Sub(l.tookOverAt) // an earlier leader heard of it at best
	}
	return now.Sub(machine.LastContact)
}

// reachability is what is known at one moment of the machines' silence.
type reachability struct {
	unreachable  map[*cluster.Machine]bool // whose tasks need not wait for the lease
	silent       []*cluster.Machine        // with tasks, and silent for too long
	partitioned  []*cluster.Machine        // heard of, but nothing reaches them
	connected    int                       // machines that have acknowledged the term's token
	inZone       map[string]int
	silentInZone map[string]int // of inZone, those silent for an interval
}

// unreachableMachines picks machines whose tasks need not wait for the lease to
// expire: to deprovision such a machine proves that they are gone. They are machines
// whose preemption notice is over, machines that answer no direct command either
// (sooner if production or a gang waits for them), and machines behind a one-way
// partition. Where many fail in the same way it is the network that failed, and the
// work goes on behind it.
func (l *Leader) unreachableMachines(now time.Time) map[*cluster.Machine]bool {
	r := l.classifyReachability(now)
	for _, machine := range r.silent {
		if r.zoneDisconnected(machine.Zone) {
			continue
		}
		l.checkSilentMachine(&r, machine, now)
	}
	if len(r.partitioned) <= max(1, int(float64(r.connected)*tuning.OneWayPartitionShare)) {
		for _, machine := range r.partitioned {
			r.unreachable[machine] = true
		}
	}
	return r.unreachable
}

func (l *Leader) classifyReachability(now time.Time) reachability {
	r := reachability{unreachable: map[*cluster.Machine]bool{}, inZone: map[string]int{}, silentInZone: map[string]int{}}
	interval, unreachableAfter := l.heartbeatIntervals(1), l.unreachableAfter()
	for _, machine := range l.machines.byID {
		if !expectedToReport(machine) {
			continue
		}
		silence := l.silence(machine, now)
		r.inZone[machine.Zone]++
		if silence > interval {
			r.silentInZone[machine.Zone]++ // sooner, so that a cut shows before any machine counts as lost
		}
		if silence > unreachableAfter && len(machine.Placements) > 0 {
			r.silent = append(r.silent, machine)
		}
		if machine.AcknowledgedToken < l.termToken() {
			continue
		}
		r.connected++
		preempted := !machine.PreemptionAt.IsZero() && now.After(machine.PreemptionAt)
		switch {
		case preempted && silence > unreachableAfter:
			r.unreachable[machine] = true
		case machine.OneWayPartitioned():
			r.partitioned = append(r.partitioned, machine)
		}
	}
	return r
}

// zoneDisconnected tells whether so much of a zone is silent that its link has failed.
func (r *reachability) zoneDisconnected(zone string) bool {
	return float64(r.silentInZone[zone]) > max(1, float64(r.inZone[zone])*tuning.ZoneOutageShare)
}

// checkSilentMachine decides whether a silent machine is unreachable. One that was not
// called directly yet is called.
func (l *Leader) checkSilentMachine(found *reachability, machine *cluster.Machine, now time.Time) {
	limit := l.heartbeatIntervals(tuning.UnreachableHeartbeats)
	silentPastLimit := now.Sub(machine.LastContact) > limit && now.Sub(l.tookOverAt) > limit
	switch {
	case machine.UnansweredCommands >= tuning.UnreachableCommands:
		found.unreachable[machine] = silentPastLimit || l.runsUrgentWork(machine)
	case machine.Addr == "": // not in the machine list either, so there is nothing to call
		found.unreachable[machine] = silentPastLimit && l.provisioner.listed
	case !machine.CommandInFlight:
		l.sendCommands(machine, nil, lastIncarnation(machine), false, false)
	}
}

// runsUrgentWork tells whether a machine has what should not wait for its lease: a
// player-facing service, or a task of a gang, whose other tasks can do nothing
// meanwhile and whose machines stand idle.
func (l *Leader) runsUrgentWork(machine *cluster.Machine) bool {
	for key := range machine.Placements {
		if job := l.jobs.open[key.Job]; job != nil && job.isGang() && job.spec.Tasks > 1 {
			return true
		}
	}
	return l.runsProduction(machine)
}

// runsProduction tells whether a machine has player-facing services.
func (l *Leader) runsProduction(machine *cluster.Machine) bool {
	for key := range machine.Placements {
		if job := l.jobs.open[key.Job]; job != nil && job.isProduction() {
			return true
		}
	}
	return false
}

// isolated tells whether this leader hears of next to none of the machines although
// the store confirms its term. Their leases expire all together, while another
// controller may well hear of them. This leader must have heard of them before, or the
// other controllers must hear of more of them: where the machines themselves are gone,
// one leader after another would leave its term, and none would ever learn of it.
func (l *Leader) isolated(now time.Time) bool {
	if now.Sub(l.lease.lastConfirmation()) > tuning.StartConfirmationAge && now.After(l.lease.answeringSince) {
		l.lease.answeringSince = now
	}
	window := l.unreachableAfter()
	if now.Sub(l.lease.answeringSince) < window {
		return false
	}
	expected, reporting := 0, 0
	for _, machine := range l.machines.byID {
		if !expectedToReport(machine) {
			continue
		}
		expected++
		if machine.Up && !machine.OneWayPartitioned() && now.Sub(machine.LastHeartbeat) <= window {
			reporting++
		}
	}
	if 2*reporting > expected {
		l.lease.majorityReported = true
	}
	tooFewReporting := expected >= tuning.IsolationMinMachines && float64(reporting) < float64(expected)*tuning.IsolationShare
	return tooFewReporting && (l.lease.majorityReported || l.RedirectedHeartbeats() > max(reporting, tuning.IsolationMinMachines))
}
