package leader

import (
	"cmp"
	"slices"
	"time"

	"marblehaven/internal/clock"
	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/scheduler"
	"marblehaven/internal/tuning"
)

// onTick does what depends on time alone.
func (c *Leader) onTick(now time.Time) {
	c.confirmByPeers(now)
	if len(c.Config.Peers) > 0 && c.isolated(now) {
		c.Log.Error("hearing next to nothing of the machines: leaving the term to another node")
		c.Resign()
		return
	}
	c.pruneClosedJobs()
	lost, stuck := c.reviewMachines(now)
	c.dispatchAll(now)
	c.planHandshakes(now)
	c.deprovisionNext(now)
	// Slack is spent and idle machines age by time alone.
	c.cycle.needed = true
	c.deprovision(lost, "silent, taken or faulty", now)
	c.deprovision(stuck, "never came up", now)
	c.refreshList(now)
	c.refreshCatalog(now)
	c.callProvisioning(now)
	c.lookUpDependencies(now)
	c.saveImageInventory(now)
}

// reviewMachines ends what leases that are over held, and picks the machines that are
// lost, and those that never came up.
func (c *Leader) reviewMachines(now time.Time) (lost, stuck []*cluster.Machine) {
	presumed := c.unreachableMachines(now)
	for _, machine := range c.machines.byID {
		if machine.Incarnation > machine.ExpiredIncarnation || len(machine.Placements) > 0 {
			if ended := machine.ExpireLease(now); len(ended) > 0 {
				c.Log.Info("lease over", "machine", machine.ID, "tasks", len(ended))
				c.endPlacements(ended, now)
			}
		}
		switch {
		case machine.Deprovisioning:
		case presumed[machine]:
			lost = append(lost, machine)
		case machine.Up && (now.After(machine.LeaseExpiry.Add(tuning.UnreachableGrace)) || now.Sub(machine.LastHeartbeat) > tuning.NoHeartbeatLimit):
			lost = append(lost, machine)
		case !machine.Up && len(machine.Placements) == 0 && c.catalog.loaded &&
			now.Sub(machine.ProvisionedAt) > seconds(tuning.BootGiveUp*c.bootS(machine)):
			stuck = append(stuck, machine)
		case machine.Up && machine.Quarantined && len(machine.Placements) == 0 && machine.CommandsResolved():
			lost = append(lost, machine)
		}
		c.drain(machine, now)
		if len(machine.Outbox) > 0 {
			c.dispatcher.pending[machine] = true
		}
	}
	return lost, stuck
}

// refreshList reads the list of machines when it is due.
func (c *Leader) refreshList(now time.Time) {
	if c.provisioner.listInFlight || !now.After(c.provisioner.nextList) {
		return
	}
	c.provisioner.listInFlight = true
	c.provisioner.nextList = now.Add(c.listInterval())
	go func() {
		machines, err := c.Cloud.ListMachines(c.ctx)
		c.post(machineListResult{now, machines, err})
	}()
}

// refreshCatalog reads the types of machines and their prices when that is due.
func (c *Leader) refreshCatalog(now time.Time) {
	if !now.After(c.catalog.nextRead) {
		return
	}
	c.catalog.nextRead = now.Add(tuning.CatalogInterval)
	save := !c.catalog.loaded
	go func() {
		types, err := c.Cloud.Catalog(c.ctx)
		for err != nil && clock.Sleep(c.ctx, tuning.MachineBackoff) {
			types, err = c.Cloud.Catalog(c.ctx)
		}
		if err != nil {
			return
		}
		c.post(catalogResult{types})
		if save {
			c.saveCatalog(c.ctx, types)
		}
	}()
}

// drain saves in time what can be saved on a machine that the cloud takes away.
func (c *Leader) drain(machine *cluster.Machine, now time.Time) {
	if machine.PreemptionAt.IsZero() || machine.AcknowledgedToken < c.termToken() {
		return // a copy of a report from before this term proves no notice
	}
	left := machine.PreemptionAt.Sub(now).Seconds()
	for _, placement := range machine.Placements {
		job := c.jobs.open[placement.Job]
		if job == nil || placement.Stopping || placement.State != protocol.TaskRunning || job.spec.CheckpointIntervalS <= 0 ||
			left > job.spec.CheckpointSaveS+tuning.NoticeMargin {
			continue
		}
		grace := job.spec.CheckpointSaveS + tuning.SaveMargin
		c.stopPlacement(placement, grace, now)
		if job.isGang() {
			for _, q := range job.placements {
				c.stopPlacement(q, grace, now)
			}
		}
	}
}

// runCycle decides and writes.
func (c *Leader) runCycle(now time.Time) {
	if c.catalog.loaded && now.Sub(c.lastConfirmation()) < tuning.StartConfirmationAge {
		c.schedule(now)
	}
	c.cycle.needed = false
	c.commit(now)
	c.dispatchAll(now)
	c.callProvisioning(now)
}

// dispatchAll sends what is due to the machines for which there is something.
func (c *Leader) dispatchAll(now time.Time) {
	for machine := range c.dispatcher.pending {
		if !machine.CommandInFlight {
			delete(c.dispatcher.pending, machine)
			c.dispatch(machine, now)
		}
	}
}

// schedule makes a plan from all that is known and carries it out.
func (c *Leader) schedule(now time.Time) {
	snap, jobs, machines := c.snapshot(now)
	plan := scheduler.Decide(snap)
	for _, start := range plan.Starts {
		c.placeTasks(jobs[start.Job], machines[start.Machine], start.Count, now)
	}
	for i, job := range jobs {
		// One attempt number for the whole gang, the next for the next try.
		if job.isGang() && snap.Jobs[i].Waiting > 0 && len(job.placements) > 0 {
			job.nextAttempt++
		}
	}
	for _, stop := range plan.Preemptions {
		c.preemptTasks(jobs[stop.Job], machines[stop.Machine], stop.Count, now)
	}
	c.scaleOut(snap, plan.ScaleOuts, now)
	var back []*cluster.Machine
	for _, i := range plan.ScaleIns {
		back = append(back, machines[i])
	}
	c.deprovision(back, "idle", now)
	if now.Sub(c.status.summarizedAt) >= tuning.StatusInterval {
		c.status.summarizedAt = now
		c.summarize(snap, jobs, plan, now)
	}
}

// placeTasks places tasks of a job on a machine; they are started once that is recorded.
func (c *Leader) placeTasks(job *jobState, machine *cluster.Machine, count int, now time.Time) {
	for range count {
		task := job.takeTask()
		placement := &cluster.Placement{TaskKey: cluster.TaskKey{Job: job.id, Task: task}, Attempt: job.nextAttempt, Incarnation: machine.Incarnation, Machine: machine, Since: now}
		if !job.isGang() {
			job.nextAttempt++
		}
		job.placements[task], machine.Placements[placement.TaskKey] = placement, placement
		c.markDirty(job, task, true, now)
	}
	if i, ok := c.catalog.index[machine.Type]; ok {
		machine.RecordImageUse(job.spec.Image, job.spec.ImageGB, c.catalog.types[i].CacheGB)
	}
	c.Log.Debug("placing", "job", job.id, "machine", machine.ID, "count", count)
}

// preemptTasks stops tasks of a job on a machine to make room, the last started first: the
// least is lost.
func (c *Leader) preemptTasks(job *jobState, machine *cluster.Machine, count int, now time.Time) {
	c.Log.Info("making room", "machine", machine.ID, "job", job.id, "count", count)
	var placed []*cluster.Placement
	for _, placement := range machine.Placements {
		if placement.Job == job.id && !placement.Stopping {
			placed = append(placed, placement)
		}
	}
	slices.SortFunc(placed, func(a, b *cluster.Placement) int {
		return cmp.Or(b.Since.Compare(a.Since), cmp.Compare(a.Task, b.Task))
	})
	for _, placement := range placed[:min(count, len(placed))] {
		// What goes before does not wait for a save: no more is lost
		// than the time since the last checkpoint.
		c.stopPlacement(placement, 0, now)
	}
}

// scaleOut asks for the machines of a plan, with one call at a time for an offer:
// what is asked for meanwhile goes into the next together. A claim for each small need
// would queue at the cloud for half a minute and take the writes from the starts.
func (c *Leader) scaleOut(snap *scheduler.Snapshot, rents []scheduler.ScaleOut, now time.Time) {
	asked := map[capacityPool]bool{}
	for _, request := range c.provisioner.requests {
		if !request.resolved {
			asked[capacityPool{request.Type, request.Zone, request.Spot}] = true
		}
	}
	for _, rent := range rents {
		wanted := capacityPool{snap.Types[rent.Type].Name, rent.Zone, rent.Spot}
		if asked[wanted] || len(asked) >= tuning.PoolsInFlight {
			continue
		}
		asked[wanted] = true
		c.requestMachines(wanted.machineType, wanted.zone, wanted.spot, rent.Count, now)
	}
}
