package controller

import (
	"cmp"
	"slices"
	"time"

	"marblehaven/internal/fleet"
	"marblehaven/internal/pause"
	"marblehaven/internal/sched"
	"marblehaven/internal/tuning"
	"marblehaven/internal/wire"
)

func (c *Controller) silence() time.Duration {
	return seconds(c.Config.Deployment.Workers.ReportS * tuning.SilentReports)
}

// onTick does what depends on time alone.
func (c *Controller) onTick(now time.Time) {
	c.extendAuthority(now)
	if len(c.Config.Peers) > 0 && c.cutOff(now) {
		c.Log.Error("hearing next to nothing of the machines: leaving the term to another node")
		c.Resign()
		return
	}
	var lost, stuck []*fleet.Machine
	presumed := c.presumedLost(now)
	lagging := 6 * seconds(c.Config.Deployment.Cloud.ListLagS)
	for id, at := range c.gone {
		if now.Sub(at) > lagging {
			delete(c.gone, id)
		}
	}
	c.forgetClosed()
	for _, m := range c.machines {
		if m.Session > m.Lapsed || len(m.Live) > 0 {
			if ended := m.Lapse(now); len(ended) > 0 {
				c.Log.Info("lease over", "machine", m.ID, "tasks", len(ended))
				c.end(ended, now)
			}
		}
		switch {
		case m.Leaving:
		case presumed[m]:
			lost = append(lost, m)
		case m.Up && (now.After(m.LeaseEnd.Add(tuning.SilentReturn)) || now.Sub(m.LastHello) > tuning.MuteReturn):
			lost = append(lost, m)
		case !m.Up && len(m.Live) == 0 && c.loadedTypes &&
			now.Sub(m.Rented) > seconds(tuning.BootGiveUp*c.bootS(m)):
			stuck = append(stuck, m)
		case m.Up && m.Faulty && len(m.Live) == 0 && m.Settled():
			lost = append(lost, m)
		}
		c.drain(m, now)
		if len(m.Outbox) > 0 {
			c.touched[m] = true
		}
	}
	c.dispatchAll(now)
	c.planHandshakes(now)
	c.returnNext(now)
	// Slack is spent and idle machines age by time alone.
	c.changed = true
	c.giveBack(lost, "silent, taken or faulty", now)
	c.giveBack(stuck, "never came up", now)
	if !c.listing && now.After(c.nextList) {
		c.listing = true
		c.nextList = now.Add(c.listPause())
		go func() {
			ms, err := c.Cloud.List(c.ctx)
			c.send(listMsg{ms, err})
		}()
	}
	if now.After(c.catalogAt) {
		c.catalogAt = now.Add(tuning.CatalogEvery)
		save := !c.loadedTypes
		go func() {
			types, err := c.Cloud.Catalog(c.ctx)
			for err != nil && pause.For(c.ctx, tuning.MachineBackoff) {
				types, err = c.Cloud.Catalog(c.ctx)
			}
			if err == nil {
				c.send(catalogMsg{types})
				if save {
					c.saveCatalog(c.ctx, types)
				}
			}
		}()
	}
	c.callClaims(now)
	c.lookUp(now)
	c.saveHint(now)
}

// unheard is how long a machine may be silent before it is asked after, or counts as
// not heard.
func (c *Controller) unheard() time.Duration {
	return seconds(c.Config.Deployment.Workers.ReportS * tuning.UnheardReports)
}

// counts tells whether a machine is one that should be heard: it has been, or there
// are tasks on it.
func counts(m *fleet.Machine) bool { return !m.Leaving && (m.Up || len(m.Live) > 0) }

// presumedLost picks silent machines whose tasks need not wait for the lease:
// giving a machine back proves that they are gone. A machine whose notice is
// over is one; so is one that answers no direct call either, sooner if production
// or a gang waits for it, unless much of its zone is silent: then it is the link
// that failed, and the work goes on there.
func (c *Controller) presumedLost(now time.Time) map[*fleet.Machine]bool {
	out := map[*fleet.Machine]bool{}
	interval, unheard := seconds(c.Config.Deployment.Workers.ReportS), c.unheard()
	var deaf, mute []*fleet.Machine
	up := 0
	inZone, silentIn := map[string]int{}, map[string]int{}
	for _, m := range c.machines {
		if !counts(m) {
			continue
		}
		silent := now.Sub(m.LastReport)
		if !m.Up {
			silent = now.Sub(c.takeover) // it was heard by an earlier leader at best
		}
		inZone[m.Zone]++
		if silent > interval {
			silentIn[m.Zone]++ // sooner, so that a cut shows before any of it counts as lost
		}
		if silent > unheard && len(m.Live) > 0 {
			mute = append(mute, m)
		}
		if m.Shown < c.token() {
			continue
		}
		up++
		switch {
		case !m.NoticeEnd.IsZero() && now.After(m.NoticeEnd) && silent > unheard:
			out[m] = true
		case m.Deaf():
			deaf = append(deaf, m)
		}
	}
	lost := seconds(c.Config.Deployment.Workers.ReportS * tuning.SilentLost)
	for _, m := range mute {
		if float64(silentIn[m.Zone]) > max(1, float64(inZone[m.Zone])*tuning.SilentZone) {
			continue
		}
		long := now.Sub(m.LastReport) > lost && now.Sub(c.takeover) > lost
		switch {
		case m.Unanswered >= tuning.SilentCalls:
			out[m] = long || c.urgent(m)
		case m.Addr == "": // not listed either, so there is nothing to call
			out[m] = long && c.listed
		case !m.InFlight:
			c.do(m, nil, lastSession(m), false, false)
		}
	}
	// Machines whose reports come although nothing reaches them are as lost, but
	// where they are many it is the link.
	if len(deaf) <= max(1, int(float64(up)*tuning.DeafFew)) {
		for _, m := range deaf {
			out[m] = true
		}
	}
	return out
}

// urgent tells whether the machine has what should not wait for its lease: a
// player-facing service, or a task of a gang, whose others can do nothing
// meanwhile and whose machines stand idle.
func (c *Controller) urgent(m *fleet.Machine) bool {
	for k := range m.Live {
		if j := c.jobs[k.Job]; j != nil && j.gang() && j.desc.Tasks > 1 {
			return true
		}
	}
	return c.production(m)
}

// production tells whether the machine has player-facing services.
func (c *Controller) production(m *fleet.Machine) bool {
	for k := range m.Live {
		if j := c.jobs[k.Job]; j != nil && j.rank() == 0 {
			return true
		}
	}
	return false
}

// cutOff tells whether this leader hears next to nothing of the machines although
// the state service keeps it in its term. Their leases run out all together, while
// another node may well hear them. It must have heard them before, or its peers
// must hear more of them than it does: where the machines themselves are gone one
// leader after another would leave, and none would ever learn that they are.
func (c *Controller) cutOff(now time.Time) bool {
	if now.Sub(c.confirmed()) > tuning.StartAuthority && now.After(c.fitSince) {
		c.fitSince = now
	}
	span := c.unheard()
	if now.Sub(c.fitSince) < span {
		return false
	}
	known, heard := 0, 0
	for _, m := range c.machines {
		if !counts(m) {
			continue
		}
		known++
		if m.Up && !m.Deaf() && now.Sub(m.LastHello) <= span {
			heard++
		}
	}
	c.heardMost = c.heardMost || 2*heard > known
	return known >= tuning.UnheardLeast && float64(heard) < float64(known)*tuning.HeardShare &&
		(c.heardMost || c.Redirected() > max(heard, tuning.UnheardLeast))
}

// drain saves in time what can be saved on a machine that the cloud takes away.
func (c *Controller) drain(m *fleet.Machine, now time.Time) {
	if m.NoticeEnd.IsZero() || m.Shown < c.token() {
		return // a copy of a report from before this term proves no notice
	}
	left := m.NoticeEnd.Sub(now).Seconds()
	for _, p := range m.Live {
		j := c.jobs[p.Job]
		if j == nil || p.Stopping || p.State != wire.TaskRunning || j.desc.CheckpointS <= 0 ||
			left > j.desc.SaveS+tuning.NoticeMargin {
			continue
		}
		grace := j.desc.SaveS + tuning.SaveMargin
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
	if c.loadedTypes && now.Sub(c.confirmed()) < tuning.StartAuthority {
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
		if !m.InFlight {
			delete(c.touched, m)
			c.dispatch(m, now)
		}
	}
}

func (c *Controller) decide(now time.Time) {
	snap, jobs, machines := c.snapshot(now)
	plan := sched.Decide(snap)
	for _, st := range plan.Starts {
		j, m := jobs[st.Job], machines[st.Machine]
		for range st.Count {
			n := j.take()
			p := &fleet.Placement{Key: fleet.Key{Job: j.ref, Task: n}, Attempt: j.next, Session: m.Session, Machine: m, Since: now}
			if !j.gang() {
				j.next++
			}
			j.live[n], m.Live[p.Key] = p, p
			c.markDirty(j, n, true, now)
		}
		if i, ok := c.typeIdx[m.Type]; ok {
			m.TouchImage(j.desc.Image, j.desc.ImageGB, c.types[i].CacheGB)
		}
		c.Log.Debug("placing", "job", j.ref, "machine", m.ID, "count", st.Count)
	}
	for i, j := range jobs {
		// One attempt number for the whole gang, the next for the next try.
		if j.gang() && snap.Jobs[i].Waiting > 0 && len(j.live) > 0 {
			j.next++
		}
	}
	for _, st := range plan.Stops {
		m, j := machines[st.Machine], jobs[st.Job]
		c.Log.Info("making room", "machine", m.ID, "job", j.ref, "count", st.Count)
		var of []*fleet.Placement
		for _, p := range m.Live {
			if p.Job == j.ref && !p.Stopping {
				of = append(of, p)
			}
		}
		// The last started first: the least is lost.
		slices.SortFunc(of, func(a, b *fleet.Placement) int { return cmp.Or(b.Since.Compare(a.Since), cmp.Compare(a.Task, b.Task)) })
		for _, p := range of[:min(st.Count, len(of))] {
			// What goes before does not wait for a save: no more is lost
			// than the time since the last checkpoint.
			c.stop(p, 0, now)
		}
	}
	// One call at a time for an offer: what is asked for meanwhile goes into the
	// next together. A claim for each small need would queue at the cloud for
	// half a minute and take the writes from the starts.
	asked := map[offer]bool{}
	for _, cl := range c.claims {
		if !cl.settled {
			asked[offer{cl.Type, cl.Zone, cl.Spot}] = true
		}
	}
	for _, r := range plan.Rents {
		if o := (offer{snap.Types[r.Type].Name, r.Zone, r.Spot}); asked[o] || len(asked) >= tuning.OffersAtOnce {
			continue
		} else {
			asked[o] = true
		}
		c.rent(snap.Types[r.Type].Name, r.Zone, r.Spot, r.Count, now)
	}
	var back []*fleet.Machine
	for _, i := range plan.Returns {
		back = append(back, machines[i])
	}
	c.giveBack(back, "idle", now)
	if now.Sub(c.summarized) >= tuning.StatusEvery {
		c.summarized = now
		c.summarize(snap, jobs, plan, now)
	}
}
