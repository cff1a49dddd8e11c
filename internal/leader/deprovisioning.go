package leader

import (
	"cmp"
	"slices"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/tuning"
)

// deprovisionResult is the outcome of the deprovisioning call in flight. A call without an
// answer may have been executed.
type deprovisionResult struct{ err error }

// deprovision queues machines to be returned to the cloud. The cloud's answer proves that
// all tasks on them have ended.
func (l *Leader) deprovision(machines []*cluster.Machine, reason string, now time.Time) {
	if len(machines) == 0 {
		return
	}
	for _, machine := range machines {
		machine.Deprovisioning = true
	}
	l.Log.Info("deprovisioning machines", "reason", reason, "machines", machineIDs(machines))
	l.provisioner.deprovisionQueue = append(l.provisioner.deprovisionQueue, machines...)
	l.deprovisionNext(now)
}

func machineIDs(machines []*cluster.Machine) []string {
	ids := make([]string, len(machines))
	for i, machine := range machines {
		ids[i] = machine.ID
	}
	return ids
}

// deprovisionNext calls the cloud for machines in the queue. One call is in flight at a
// time, and machines queued meanwhile go into the next: a call and its retries for each of
// hundreds of machines would leave no calls for provisioning. Machines with tasks go
// first, since these tasks start elsewhere only after the answer.
func (l *Leader) deprovisionNext(now time.Time) {
	p := &l.provisioner
	if len(p.deprovisionInFlight) > 0 || len(p.deprovisionQueue) == 0 || now.Before(p.nextDeprovision) {
		return
	}
	slices.SortStableFunc(p.deprovisionQueue, func(a, b *cluster.Machine) int {
		return cmp.Compare(min(1, len(b.Placements)), min(1, len(a.Placements)))
	})
	count := min(len(p.deprovisionQueue), tuning.DeprovisionMax)
	p.deprovisionInFlight = p.deprovisionQueue[:count:count]
	p.deprovisionQueue = slices.Clone(p.deprovisionQueue[count:])
	ids := machineIDs(p.deprovisionInFlight)
	go func() { l.post(deprovisionResult{l.Cloud.Deprovision(l.ctx, ids)}) }()
}

func (r deprovisionResult) apply(leader *Leader, now time.Time) { leader.onDeprovisionResult(r, now) }

func (l *Leader) onDeprovisionResult(result deprovisionResult, now time.Time) {
	p := &l.provisioner
	machines := p.deprovisionInFlight
	p.deprovisionInFlight = nil
	defer l.deprovisionNext(now)
	if result.err != nil {
		// The call may have been executed. A repeated call ignores machines that no
		// longer exist.
		l.Log.Info("deprovisioning call failed, its machines are queued again", "machines", len(machines), "err", result.err)
		p.deprovisionQueue = append(p.deprovisionQueue, machines...)
		p.nextDeprovision = now.Add(tuning.MachineBackoff)
		return
	}
	for _, machine := range machines {
		var ended []cluster.EndedPlacement
		for _, placement := range machine.Placements {
			ended = append(ended, cluster.EndedPlacement{Placement: placement})
		}
		l.endPlacements(ended, now)
		l.removeMachine(machine, now)
	}
}
