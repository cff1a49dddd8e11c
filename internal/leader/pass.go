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
	c.changed = true
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
	for _, m := range c.machines {
		if m.Incarnation > m.ExpiredIncarnation || len(m.Placements) > 0 {
			if ended := m.ExpireLease(now); len(ended) > 0 {
				c.Log.Info("lease over", "machine", m.ID, "tasks", len(ended))
				c.endPlacements(ended, now)
			}
		}
		switch {
		case m.Deprovisioning:
		case presumed[m]:
			lost = append(lost, m)
		case m.Up && (now.After(m.LeaseExpiry.Add(tuning.UnreachableGrace)) || now.Sub(m.LastHeartbeat) > tuning.NoHeartbeatLimit):
			lost = append(lost, m)
		case !m.Up && len(m.Placements) == 0 && c.typesLoaded &&
			now.Sub(m.ProvisionedAt) > seconds(tuning.BootGiveUp*c.bootS(m)):
			stuck = append(stuck, m)
		case m.Up && m.Quarantined && len(m.Placements) == 0 && m.CommandsResolved():
			lost = append(lost, m)
		}
		c.drain(m, now)
		if len(m.Outbox) > 0 {
			c.pendingDispatch[m] = true
		}
	}
	return lost, stuck
}

// refreshList reads the list of machines when it is due.
func (c *Leader) refreshList(now time.Time) {
	if c.listInFlight || !now.After(c.nextList) {
		return
	}
	c.listInFlight = true
	c.nextList = now.Add(c.listInterval())
	go func() {
		machines, err := c.Cloud.ListMachines(c.ctx)
		c.post(machineListResult{now, machines, err})
	}()
}

// refreshCatalog reads the types of machines and their prices when that is due.
func (c *Leader) refreshCatalog(now time.Time) {
	if !now.After(c.catalogAt) {
		return
	}
	c.catalogAt = now.Add(tuning.CatalogInterval)
	save := !c.typesLoaded
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
func (c *Leader) drain(m *cluster.Machine, now time.Time) {
	if m.PreemptionAt.IsZero() || m.AcknowledgedToken < c.termToken() {
		return // a copy of a report from before this term proves no notice
	}
	left := m.PreemptionAt.Sub(now).Seconds()
	for _, p := range m.Placements {
		j := c.jobs[p.Job]
		if j == nil || p.Stopping || p.State != protocol.TaskRunning || j.spec.CheckpointIntervalS <= 0 ||
			left > j.spec.CheckpointSaveS+tuning.NoticeMargin {
			continue
		}
		grace := j.spec.CheckpointSaveS + tuning.SaveMargin
		c.stopPlacement(p, grace, now)
		if j.isGang() {
			for _, q := range j.placements {
				c.stopPlacement(q, grace, now)
			}
		}
	}
}

// runCycle decides and writes.
func (c *Leader) runCycle(now time.Time) {
	if c.typesLoaded && now.Sub(c.lastConfirmation()) < tuning.StartConfirmationAge {
		c.schedule(now)
	}
	c.changed = false
	c.commit(now)
	c.dispatchAll(now)
	c.callProvisioning(now)
}

// dispatchAll sends what is due to the machines for which there is something.
func (c *Leader) dispatchAll(now time.Time) {
	for m := range c.pendingDispatch {
		if !m.CommandInFlight {
			delete(c.pendingDispatch, m)
			c.dispatch(m, now)
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
	for i, j := range jobs {
		// One attempt number for the whole gang, the next for the next try.
		if j.isGang() && snap.Jobs[i].Waiting > 0 && len(j.placements) > 0 {
			j.nextAttempt++
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
	if now.Sub(c.lastSummary) >= tuning.StatusInterval {
		c.lastSummary = now
		c.summarize(snap, jobs, plan, now)
	}
}

// placeTasks places tasks of a job on a machine; they are started once that is recorded.
func (c *Leader) placeTasks(j *jobState, m *cluster.Machine, count int, now time.Time) {
	for range count {
		task := j.takeTask()
		p := &cluster.Placement{TaskKey: cluster.TaskKey{Job: j.id, Task: task}, Attempt: j.nextAttempt, Incarnation: m.Incarnation, Machine: m, Since: now}
		if !j.isGang() {
			j.nextAttempt++
		}
		j.placements[task], m.Placements[p.TaskKey] = p, p
		c.markDirty(j, task, true, now)
	}
	if i, ok := c.typeIndex[m.Type]; ok {
		m.RecordImageUse(j.spec.Image, j.spec.ImageGB, c.machineTypes[i].CacheGB)
	}
	c.Log.Debug("placing", "job", j.id, "machine", m.ID, "count", count)
}

// preemptTasks stops tasks of a job on a machine to make room, the last started first: the
// least is lost.
func (c *Leader) preemptTasks(j *jobState, m *cluster.Machine, count int, now time.Time) {
	c.Log.Info("making room", "machine", m.ID, "job", j.id, "count", count)
	var placed []*cluster.Placement
	for _, p := range m.Placements {
		if p.Job == j.id && !p.Stopping {
			placed = append(placed, p)
		}
	}
	slices.SortFunc(placed, func(a, b *cluster.Placement) int {
		return cmp.Or(b.Since.Compare(a.Since), cmp.Compare(a.Task, b.Task))
	})
	for _, p := range placed[:min(count, len(placed))] {
		// What goes before does not wait for a save: no more is lost
		// than the time since the last checkpoint.
		c.stopPlacement(p, 0, now)
	}
}

// scaleOut asks for the machines of a plan, with one call at a time for an offer:
// what is asked for meanwhile goes into the next together. A claim for each small need
// would queue at the cloud for half a minute and take the writes from the starts.
func (c *Leader) scaleOut(snap *scheduler.Snapshot, rents []scheduler.ScaleOut, now time.Time) {
	asked := map[capacityPool]bool{}
	for _, cl := range c.provisionRequests {
		if !cl.resolved {
			asked[capacityPool{cl.Type, cl.Zone, cl.Spot}] = true
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
