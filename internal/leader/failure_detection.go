package leader

import (
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/tuning"
)

// heartbeatIntervals returns the duration of n heartbeat intervals.
func (l *Leader) heartbeatIntervals(n float64) time.Duration {
	return seconds(l.Config.Deployment.Workers.ReportS * n)
}

// maxSchedulableSilence is how long a machine may be silent and still be given new work.
func (l *Leader) maxSchedulableSilence() time.Duration {
	return l.heartbeatIntervals(tuning.SchedulableHeartbeats)
}

// unreachableAfter is how long a machine may be silent before the leader sends a direct
// command to its agent, and before the method isolated counts the machine as not reporting.
func (l *Leader) unreachableAfter() time.Duration {
	return l.heartbeatIntervals(tuning.MissedHeartbeats)
}

// expectedToReport reports whether heartbeats of a machine are expected: a status of its
// agent was applied in this term, or tasks may be on the machine.
func expectedToReport(machine *cluster.Machine) bool {
	return !machine.Deprovisioning && (machine.Up || len(machine.Placements) > 0)
}

// silence is the time since a status of a machine's agent was last applied or, if none
// was in this term, since the leader took over.
func (l *Leader) silence(machine *cluster.Machine, now time.Time) time.Duration {
	if !machine.Up {
		return now.Sub(l.tookOverAt) // only an earlier leader can have received a status
	}
	return now.Sub(machine.LastContact)
}

// reachability groups the machines by how long and in which way they are silent.
type reachability struct {
	unreachable  map[*cluster.Machine]bool // to be deprovisioned before their leases expire
	silent       []*cluster.Machine        // with tasks, and silent for more than unreachableAfter
	partitioned  []*cluster.Machine        // their heartbeats arrive, but no reply reaches them
	connected    int                       // machines that have acknowledged the term's token
	inZone       map[string]int            // machines expected to report, by zone
	silentInZone map[string]int            // of inZone, those silent for more than one interval
}

// unreachableMachines returns the machines to be deprovisioned before their leases expire.
// The cloud's answer proves that their tasks have ended, so that the tasks start elsewhere
// sooner. They are
//
//   - silent machines whose preemption notice has run out,
//   - silent machines that answer no direct commands either; these count as unreachable
//     sooner if production or a gang waits for them,
//   - machines behind a one-way partition.
//
// Where many machines fail in one of the last two ways, the network has failed and not
// the machines. None of these is returned, since their tasks keep running.
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
			r.silentInZone[machine.Zone]++ // after one interval, so that a failed link shows before any machine counts as unreachable
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

// zoneDisconnected reports whether so many machines of a zone are silent that the network
// link to the zone must have failed.
func (r *reachability) zoneDisconnected(zone string) bool {
	return float64(r.silentInZone[zone]) > max(1, float64(r.inZone[zone])*tuning.ZoneOutageShare)
}

// checkSilentMachine decides whether a silent machine is unreachable. It sends a direct
// command to a machine that has not left enough of them unanswered yet.
func (l *Leader) checkSilentMachine(found *reachability, machine *cluster.Machine, now time.Time) {
	limit := l.heartbeatIntervals(tuning.UnreachableHeartbeats)
	silentPastLimit := now.Sub(machine.LastContact) > limit && now.Sub(l.tookOverAt) > limit
	switch {
	case machine.UnansweredCommands >= tuning.UnreachableCommands:
		found.unreachable[machine] = silentPastLimit || l.runsUrgentWork(machine)
	case machine.Addr == "": // no heartbeat or machine list has given an address to send commands to
		found.unreachable[machine] = silentPastLimit && l.provisioner.listed
	case !machine.CommandInFlight:
		l.sendCommands(machine, nil, machine.CommandIncarnation(), false, false)
	}
}

// runsUrgentWork reports whether a machine has tasks that should not wait for its lease to
// expire: a player-facing service, or a task of a gang, whose other tasks make no
// progress meanwhile and whose machines stand idle.
func (l *Leader) runsUrgentWork(machine *cluster.Machine) bool {
	for key := range machine.Placements {
		if job := l.jobs.open[key.Job]; job != nil && job.isGang() && job.spec.Tasks > 1 {
			return true
		}
	}
	return l.runsProduction(machine)
}

// runsProduction reports whether a machine has tasks of player-facing services.
func (l *Leader) runsProduction(machine *cluster.Machine) bool {
	for key := range machine.Placements {
		if job := l.jobs.open[key.Job]; job != nil && job.isProduction() {
			return true
		}
	}
	return false
}

// isolated reports whether this leader receives heartbeats from almost none of the
// machines although the store confirms its term. The leases of all these machines would
// then expire, while another controller may well receive their heartbeats.
//
// The leader must have received heartbeats from most machines before, or the other
// controllers must receive more heartbeats than this leader. Otherwise the machines
// themselves may have failed: then one leader after another would resign, and none would
// lead for long enough to detect the failure.
func (l *Leader) isolated(now time.Time) bool {
	if now.Sub(l.lease.lastConfirmation()) > tuning.StartConfirmationAge && now.After(l.lease.confirmedSince) {
		l.lease.confirmedSince = now
	}
	window := l.unreachableAfter()
	if now.Sub(l.lease.confirmedSince) < window {
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
