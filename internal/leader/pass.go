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
func (c *Controller) onTick(now time.Time) {
	c.extendAuthority(now)
	if len(c.Config.Peers) > 0 && c.cutOff(now) {
		c.Log.Error("hearing next to nothing of the machines: leaving the term to another node")
		c.Resign()
		return
	}
	c.forgetClosed()
	lost, stuck := c.reviewMachines(now)
	c.dispatchAll(now)
	c.planHandshakes(now)
	c.returnNext(now)
	// Slack is spent and idle machines age by time alone.
	c.changed = true
	c.giveBack(lost, "silent, taken or faulty", now)
	c.giveBack(stuck, "never came up", now)
	c.refreshList(now)
	c.refreshCatalog(now)
	c.callClaims(now)
	c.lookUp(now)
	c.saveHint(now)
}

// reviewMachines ends what leases that are over held, and picks the machines that are
// lost, and those that never came up.
func (c *Controller) reviewMachines(now time.Time) (lost, stuck []*cluster.Machine) {
	presumed := c.presumedLost(now)
	for _, m := range c.machines {
		if m.Incarnation > m.ExpiredIncarnation || len(m.Placements) > 0 {
			if ended := m.ExpireLease(now); len(ended) > 0 {
				c.Log.Info("lease over", "machine", m.ID, "tasks", len(ended))
				c.end(ended, now)
			}
		}
		switch {
		case m.Deprovisioning:
		case presumed[m]:
			lost = append(lost, m)
		case m.Up && (now.After(m.LeaseExpiry.Add(tuning.UnreachableGrace)) || now.Sub(m.LastHeartbeat) > tuning.NoHeartbeatLimit):
			lost = append(lost, m)
		case !m.Up && len(m.Placements) == 0 && c.loadedTypes &&
			now.Sub(m.ProvisionedAt) > seconds(tuning.BootGiveUp*c.bootS(m)):
			stuck = append(stuck, m)
		case m.Up && m.Quarantined && len(m.Placements) == 0 && m.CommandsResolved():
			lost = append(lost, m)
		}
		c.drain(m, now)
		if len(m.Outbox) > 0 {
			c.touched[m] = true
		}
	}
	return lost, stuck
}

// refreshList reads the list of machines when it is due.
func (c *Controller) refreshList(now time.Time) {
	if c.listing || !now.After(c.nextList) {
		return
	}
	c.listing = true
	c.nextList = now.Add(c.listPause())
	go func() {
		machines, err := c.Cloud.ListMachines(c.ctx)
		c.send(listMsg{now, machines, err})
	}()
}

// refreshCatalog reads the types of machines and their prices when that is due.
func (c *Controller) refreshCatalog(now time.Time) {
	if !now.After(c.catalogAt) {
		return
	}
	c.catalogAt = now.Add(tuning.CatalogInterval)
	save := !c.loadedTypes
	go func() {
		types, err := c.Cloud.Catalog(c.ctx)
		for err != nil && clock.Sleep(c.ctx, tuning.MachineBackoff) {
			types, err = c.Cloud.Catalog(c.ctx)
		}
		if err != nil {
			return
		}
		c.send(catalogMsg{types})
		if save {
			c.saveCatalog(c.ctx, types)
		}
	}()
}

// drain saves in time what can be saved on a machine that the cloud takes away.
func (c *Controller) drain(m *cluster.Machine, now time.Time) {
	if m.PreemptionAt.IsZero() || m.AcknowledgedToken < c.token() {
		return // a copy of a report from before this term proves no notice
	}
	left := m.PreemptionAt.Sub(now).Seconds()
	for _, p := range m.Placements {
		j := c.jobs[p.Job]
		if j == nil || p.Stopping || p.State != protocol.TaskRunning || j.desc.CheckpointIntervalS <= 0 ||
			left > j.desc.CheckpointSaveS+tuning.NoticeMargin {
			continue
		}
		grace := j.desc.CheckpointSaveS + tuning.SaveMargin
		c.stop(p, grace, now)
		if j.gang() {
			for _, q := range j.live {
				c.stop(q, grace, now)
			}
		}
	}
}

// pass decides and writes.
func (c *Controller) pass(now time.Time) {
	if c.loadedTypes && now.Sub(c.confirmed()) < tuning.StartConfirmationAge {
		c.decide(now)
	}
	c.changed = false
	c.commit(now)
	c.dispatchAll(now)
	c.callClaims(now)
}

// dispatchAll sends what is due to the machines for which there is something.
func (c *Controller) dispatchAll(now time.Time) {
	for m := range c.touched {
		if !m.CommandInFlight {
			delete(c.touched, m)
			c.dispatch(m, now)
		}
	}
}

// decide makes a plan from all that is known and carries it out.
func (c *Controller) decide(now time.Time) {
	snap, jobs, machines := c.snapshot(now)
	plan := scheduler.Decide(snap)
	for _, start := range plan.Starts {
		c.placeTasks(jobs[start.Job], machines[start.Machine], start.Count, now)
	}
	for i, j := range jobs {
		// One attempt number for the whole gang, the next for the next try.
		if j.gang() && snap.Jobs[i].Waiting > 0 && len(j.live) > 0 {
			j.next++
		}
	}
	for _, stop := range plan.Preemptions {
		c.stopTasks(jobs[stop.Job], machines[stop.Machine], stop.Count, now)
	}
	c.rentPlanned(snap, plan.ScaleOuts, now)
	var back []*cluster.Machine
	for _, i := range plan.ScaleIns {
		back = append(back, machines[i])
	}
	c.giveBack(back, "idle", now)
	if now.Sub(c.summarized) >= tuning.StatusInterval {
		c.summarized = now
		c.summarize(snap, jobs, plan, now)
	}
}

// placeTasks places tasks of a job on a machine; they are started once that is recorded.
func (c *Controller) placeTasks(j *job, m *cluster.Machine, count int, now time.Time) {
	for range count {
		task := j.take()
		p := &cluster.Placement{TaskKey: cluster.TaskKey{Job: j.ref, Task: task}, Attempt: j.next, Incarnation: m.Incarnation, Machine: m, Since: now}
		if !j.gang() {
			j.next++
		}
		j.live[task], m.Placements[p.TaskKey] = p, p
		c.markDirty(j, task, true, now)
	}
	if i, ok := c.typeIdx[m.Type]; ok {
		m.RecordImageUse(j.desc.Image, j.desc.ImageGB, c.types[i].CacheGB)
	}
	c.Log.Debug("placing", "job", j.ref, "machine", m.ID, "count", count)
}

// stopTasks stops tasks of a job on a machine to make room, the last started first: the
// least is lost.
func (c *Controller) stopTasks(j *job, m *cluster.Machine, count int, now time.Time) {
	c.Log.Info("making room", "machine", m.ID, "job", j.ref, "count", count)
	var placed []*cluster.Placement
	for _, p := range m.Placements {
		if p.Job == j.ref && !p.Stopping {
			placed = append(placed, p)
		}
	}
	slices.SortFunc(placed, func(a, b *cluster.Placement) int {
		return cmp.Or(b.Since.Compare(a.Since), cmp.Compare(a.Task, b.Task))
	})
	for _, p := range placed[:min(count, len(placed))] {
		// What goes before does not wait for a save: no more is lost
		// than the time since the last checkpoint.
		c.stop(p, 0, now)
	}
}

// rentPlanned asks for the machines of a plan, with one call at a time for an offer:
// what is asked for meanwhile goes into the next together. A claim for each small need
// would queue at the cloud for half a minute and take the writes from the starts.
func (c *Controller) rentPlanned(snap *scheduler.Snapshot, rents []scheduler.ScaleOut, now time.Time) {
	asked := map[offer]bool{}
	for _, cl := range c.claims {
		if !cl.settled {
			asked[offer{cl.Type, cl.Zone, cl.Spot}] = true
		}
	}
	for _, rent := range rents {
		wanted := offer{snap.Types[rent.Type].Name, rent.Zone, rent.Spot}
		if asked[wanted] || len(asked) >= tuning.PoolsInFlight {
			continue
		}
		asked[wanted] = true
		c.rent(wanted.typ, wanted.zone, wanted.spot, rent.Count, now)
	}
}
