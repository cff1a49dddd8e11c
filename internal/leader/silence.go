package leader

import (
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/tuning"
)

// schedulableSilence is how long a machine may be silent and still be given new work.
func (c *Leader) schedulableSilence() time.Duration {
	return seconds(c.Config.Deployment.Workers.ReportS * tuning.SchedulableHeartbeats)
}

// unreachableAfter is how long a machine may be silent before it is asked after, or counts as
// not heard.
func (c *Leader) unreachableAfter() time.Duration {
	return seconds(c.Config.Deployment.Workers.ReportS * tuning.MissedHeartbeats)
}

// expectedToReport tells whether a machine is one that should be heard: it has been, or there
// are tasks on it.
func expectedToReport(machine *cluster.Machine) bool {
	return !machine.Deprovisioning && (machine.Up || len(machine.Placements) > 0)
}

// unreachableMachines picks silent machines whose tasks need not wait for the lease:
// giving a machine back proves that they are gone. A machine whose notice is
// over is one; so is one that answers no direct call either, sooner if production
// or a gang waits for it, unless much of its zone is silent: then it is the link
// that failed, and the work goes on there.
func (c *Leader) unreachableMachines(now time.Time) map[*cluster.Machine]bool {
	out := map[*cluster.Machine]bool{}
	interval, unheard := seconds(c.Config.Deployment.Workers.ReportS), c.unreachableAfter()
	var deaf, mute []*cluster.Machine
	up := 0
	inZone, silentIn := map[string]int{}, map[string]int{}
	for _, machine := range c.machines.byID {
		if !expectedToReport(machine) {
			continue
		}
		silent := now.Sub(machine.LastContact)
		if !machine.Up {
			silent = now.Sub(c.tookOverAt) // it was heard by an earlier leader at best
		}
		inZone[machine.Zone]++
		if silent > interval {
			silentIn[machine.Zone]++ // sooner, so that a cut shows before any of it counts as lost
		}
		if silent > unheard && len(machine.Placements) > 0 {
			mute = append(mute, machine)
		}
		if machine.AcknowledgedToken < c.termToken() {
			continue
		}
		up++
		switch {
		case !machine.PreemptionAt.IsZero() && now.After(machine.PreemptionAt) && silent > unheard:
			out[machine] = true
		case machine.OneWayPartitioned():
			deaf = append(deaf, machine)
		}
	}
	lost := seconds(c.Config.Deployment.Workers.ReportS * tuning.UnreachableHeartbeats)
	for _, machine := range mute {
		if float64(silentIn[machine.Zone]) > max(1, float64(inZone[machine.Zone])*tuning.ZoneOutageShare) {
			continue
		}
		long := now.Sub(machine.LastContact) > lost && now.Sub(c.tookOverAt) > lost
		switch {
		case machine.UnansweredCommands >= tuning.UnreachableCommands:
			out[machine] = long || c.runsUrgentWork(machine)
		case machine.Addr == "": // not listed either, so there is nothing to call
			out[machine] = long && c.provisioner.listed
		case !machine.CommandInFlight:
			c.sendCommands(machine, nil, lastIncarnation(machine), false, false)
		}
	}
	// Machines whose reports come although nothing reaches them are as lost, but
	// where they are many it is the link.
	if len(deaf) <= max(1, int(float64(up)*tuning.OneWayPartitionShare)) {
		for _, machine := range deaf {
			out[machine] = true
		}
	}
	return out
}

// runsUrgentWork tells whether the machine has what should not wait for its lease: a
// player-facing service, or a task of a gang, whose others can do nothing
// meanwhile and whose machines stand idle.
func (c *Leader) runsUrgentWork(machine *cluster.Machine) bool {
	for k := range machine.Placements {
		if job := c.jobs.open[k.Job]; job != nil && job.isGang() && job.spec.Tasks > 1 {
			return true
		}
	}
	return c.runsProduction(machine)
}

// runsProduction tells whether the machine has player-facing services.
func (c *Leader) runsProduction(machine *cluster.Machine) bool {
	for k := range machine.Placements {
		if job := c.jobs.open[k.Job]; job != nil && job.priority() == 0 {
			return true
		}
	}
	return false
}

// isolated tells whether this leader hears next to nothing of the machines although
// the state service keeps it in its term. Their leases run out all together, while
// another node may well hear them. It must have heard them before, or its peers
// must hear more of them than it does: where the machines themselves are gone one
// leader after another would leave, and none would ever learn that they are.
func (c *Leader) isolated(now time.Time) bool {
	if now.Sub(c.lastConfirmation()) > tuning.StartConfirmationAge && now.After(c.lease.answeringSince) {
		c.lease.answeringSince = now
	}
	span := c.unreachableAfter()
	if now.Sub(c.lease.answeringSince) < span {
		return false
	}
	known, heard := 0, 0
	for _, machine := range c.machines.byID {
		if !expectedToReport(machine) {
			continue
		}
		known++
		if machine.Up && !machine.OneWayPartitioned() && now.Sub(machine.LastHeartbeat) <= span {
			heard++
		}
	}
	c.lease.heardMajority = c.lease.heardMajority || 2*heard > known
	return known >= tuning.IsolationMinMachines && float64(heard) < float64(known)*tuning.IsolationShare &&
		(c.lease.heardMajority || c.Redirected() > max(heard, tuning.IsolationMinMachines))
}
