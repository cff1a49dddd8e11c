package leader

import (
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// onTick does the work that becomes due by time alone.
func (l *Leader) onTick(now time.Time) {
	l.confirmByPeers(now)
	if len(l.Config.Peers) > 0 && l.isolated(now) {
		l.Log.Error("almost no machines report to this leader, resigning so that another controller can lead")
		l.Resign()
		return
	}
	l.pruneClosedJobs()
	unreachable, neverUp := l.reviewMachines(now)
	l.dispatchAll(now)
	l.planHandshakes(now)
	l.deprovisionNext(now)
	l.cycle.request() // slack shrinks and machines exceed their idle time without any message
	l.deprovision(unreachable, "unreachable, preempted or quarantined", now)
	l.deprovision(neverUp, "never came up", now)
	l.refreshMachineList(now)
	l.refreshCatalog(now)
	l.callProvisioning(now)
	l.lookUpDependencies(now)
	l.saveImageInventory(now)
}

// reviewMachines ends the placements under expired leases, and returns the machines to be
// deprovisioned: those that are lost (unreachable, silent for too long, or quarantined and
// empty), and those that never came up.
func (l *Leader) reviewMachines(now time.Time) (lost, neverUp []*cluster.Machine) {
	unreachable := l.unreachableMachines(now)
	for _, machine := range l.machines.byID {
		l.expireLease(machine, now)
		switch {
		case machine.Deprovisioning:
		case unreachable[machine], silentForTooLong(machine, now), isQuarantinedAndEmpty(machine):
			lost = append(lost, machine)
		case l.neverCameUp(machine, now):
			neverUp = append(neverUp, machine)
		}
		l.checkpointBeforePreemption(machine, now)
		if len(machine.Outbox) > 0 {
			l.dispatcher.add(machine)
		}
	}
	return lost, neverUp
}

// expireLease ends the placements of a machine whose agent's lease has surely expired.
func (l *Leader) expireLease(machine *cluster.Machine, now time.Time) {
	if machine.Incarnation <= machine.ExpiredIncarnation && len(machine.Placements) == 0 {
		return
	}
	ended := machine.ExpireLease(now)
	if len(ended) == 0 {
		return
	}
	l.Log.Info("agent lease expired, its tasks are queued to start again", "machine", machine.ID, "tasks", len(ended))
	l.endPlacements(ended, now)
}

// silentForTooLong reports whether a machine that was up stayed silent for
// tuning.UnreachableGrace after its lease expired, or answers commands but has sent no
// heartbeat for tuning.NoHeartbeatLimit.
func silentForTooLong(machine *cluster.Machine, now time.Time) bool {
	longAfterLease := now.After(machine.LeaseExpiry.Add(tuning.UnreachableGrace))
	withoutHeartbeats := now.Sub(machine.LastHeartbeat) > tuning.NoHeartbeatLimit
	return machine.Up && (longAfterLease || withoutHeartbeats)
}

func isQuarantinedAndEmpty(machine *cluster.Machine) bool {
	return machine.Up && machine.Quarantined && len(machine.Placements) == 0 && machine.CommandsResolved()
}

func (l *Leader) neverCameUp(machine *cluster.Machine, now time.Time) bool {
	return !machine.Up && len(machine.Placements) == 0 && l.catalog.loaded &&
		now.Sub(machine.ProvisionedAt) > seconds(tuning.BootTimeoutFactor*l.bootTimeS(machine))
}

// checkpointBeforePreemption stops those running tasks on a machine under a preemption
// notice that can save a checkpoint. Each is stopped as late as possible while enough time
// is left to save the checkpoint.
func (l *Leader) checkpointBeforePreemption(machine *cluster.Machine, now time.Time) {
	if machine.PreemptionAt.IsZero() || machine.AcknowledgedToken < l.termToken() {
		return // the notice may be from a late copy of a heartbeat sent before this term
	}
	remainingS := machine.PreemptionAt.Sub(now).Seconds()
	for _, placement := range machine.Placements {
		job := l.jobs.open[placement.Job]
		if job == nil || placement.Stopping || placement.State != protocol.TaskRunning || job.spec.CheckpointIntervalS <= 0 ||
			remainingS > job.spec.CheckpointSaveS+tuning.NoticeMarginS {
			continue
		}
		gracePeriodS := job.spec.CheckpointSaveS + tuning.SaveMarginS
		l.stopPlacement(placement, gracePeriodS, now)
		if !job.isGang() {
			continue
		}
		for _, member := range job.placements { // the tasks of a gang save together
			l.stopPlacement(member, gracePeriodS, now)
		}
	}
}
