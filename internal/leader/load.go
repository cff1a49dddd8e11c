package leader

import (
	"context"
	"errors"
	"time"

	"marblehaven/internal/clock"
	"marblehaven/internal/cluster"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/scheduler"
	"marblehaven/internal/tuning"
)

// records is what an earlier leader left.
type storedRecords struct {
	open, claims     protocol.KeyValuePage
	catalog, cluster protocol.KeyValue
}

func (c *Controller) readRecords(ctx context.Context) (r storedRecords, err error) {
	if r.open, err = c.Store.ListAll(ctx, records.PrefixOpen); err != nil {
		return r, err
	}
	if r.claims, err = c.Store.ListAll(ctx, records.PrefixProvisioning); err != nil {
		return r, err
	}
	if r.catalog, err = c.Store.Get(ctx, records.KeyCatalog); err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return r, err
	}
	if r.cluster, err = c.Store.Get(ctx, records.KeyCluster); err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return r, err
	}
	return r, nil
}

// load reads the records that an earlier leader left.
func (c *Controller) load(ctx context.Context) (uint64, bool) {
	for ctx.Err() == nil {
		start := time.Now()
		r, err := c.readRecords(ctx)
		if err != nil {
			c.Log.Debug("reading records", "err", err)
			clock.Sleep(ctx, tuning.ElectionRetry)
			continue
		}
		c.restore(&r, time.Now())
		c.loadHints(ctx)
		c.asOfFollow, c.asOfTerm = start, start
		return r.open.Revision, true
	}
	return 0, false
}

func (c *Controller) restore(r *storedRecords, now time.Time) {
	if r.cluster.Version > 0 {
		// Whatever it says, it was written when all controllers read pieces.
		c.useFormat(records.FormatSegmented)
	}
	c.restoreJobs(r.open.Entries, now)
	for _, it := range r.claims.Entries {
		var cl records.ProvisioningRequest
		if err := protocol.Unmarshal(it.Value, &cl); err == nil {
			c.claims[cl.ID] = &claim{ProvisioningRequest: cl, recorded: true}
		}
	}
	if r.catalog.Value == nil {
		return
	}
	var types []protocol.MachineType
	if protocol.Unmarshal(r.catalog.Value, &types) == nil {
		c.setTypes(types)
		c.loadedTypes = true
	}
}

// restoreJobs takes in the open jobs with the pieces of their run records.
func (c *Controller) restoreJobs(items []protocol.KeyValue, now time.Time) {
	open := map[string]bool{}
	pieces := map[string][]protocol.KeyValue{}
	for _, it := range items {
		ref, number := records.ParseOpenKey(it.Key)
		if number == records.NoSegment {
			open[ref] = true
			c.setOpen(it.Key, it.Value, it.Version, now)
			continue
		}
		pieces[ref] = append(pieces[ref], it)
	}
	for ref, of := range pieces {
		switch j := c.jobs[ref]; {
		case j != nil:
			c.restoreRun(j, of, now)
		case !open[ref]:
			// The job was closed by a leader that came to no end with it.
			for _, it := range of {
				c.leftovers = append(c.leftovers, leftover{it.Key, it.Version})
			}
		}
		// Otherwise its open record cannot be read: users are told it is queued.
	}
	// A job may have been cancelled while nobody led: no event will tell.
	for _, j := range c.jobs {
		if j.cancelled {
			c.cancelJob(j, now)
		}
	}
}

// restoreRun takes in the pieces of a job's run record.
func (c *Controller) restoreRun(j *job, items []protocol.KeyValue, now time.Time) {
	runs := map[int]records.RunRecord{}
	for _, it := range items {
		_, number := records.ParseOpenKey(it.Key)
		if number < 0 || number >= max(1, records.SegmentCount(j.desc.Tasks)) {
			c.Log.Error("run record of no task", "key", it.Key)
			c.leftovers = append(c.leftovers, leftover{it.Key, it.Version})
			continue
		}
		j.piece(number).version = it.Version
		var r records.RunRecord
		if err := protocol.Unmarshal(it.Value, &r); err != nil {
			c.Log.Error("unreadable run record", "job", j.ref, "piece", number, "err", err)
			j.unread = true
			continue
		}
		runs[number] = r
	}
	whole := records.JoinSegments(runs)
	j.restore(&whole)
	if j.unread {
		// Anything of it may run anywhere. It rests until that is surely
		// over, as on machines never heard from, and then goes on with what it
		// has no record of: workers kept the results of what was done.
		j.next = max(j.next, c.term.Term<<tuning.TermShift+1) // no earlier attempt has this number
		j.rest(c.leaseFrom(c.takeover.Add(c.leaderLease())))
	}
	for _, lp := range whole.Placements {
		c.restorePlacement(j, lp, now)
	}
}

func (c *Controller) restorePlacement(j *job, lp records.Placement, now time.Time) {
	m := c.machine(lp.Machine, now)
	if m.Zone == "" {
		m.Zone = lp.Zone
	}
	p := &cluster.Placement{TaskKey: cluster.TaskKey{Job: j.ref, Task: lp.Task}, Attempt: lp.Attempt, Incarnation: lp.Incarnation,
		Machine: m, Recorded: true, Sent: true, StartToken: c.token() - 1, Since: now}
	j.live[lp.Task], m.Placements[p.TaskKey] = p, p
}

// setOpen takes in an open job's record.
func (c *Controller) setOpen(key string, value []byte, version uint64, now time.Time) {
	ref, _ := records.ParseOpenKey(key)
	j := c.jobs[ref]
	var o records.OpenJob
	if err := protocol.Unmarshal(value, &o); err != nil {
		c.Log.Error("unreadable job record", "job", ref, "err", err)
		c.onUnreadable(ref, value, now)
		return
	}
	if j != nil {
		c.onRewritten(j, &o, version, now)
		return
	}
	if _, over := c.closed[ref]; over {
		return // read before it was closed
	}
	c.addJob(ref, &o, version, now)
}

// forgetClosed drops the closed jobs that no reading still under way can name: a
// reading that began after a job was closed has been taken in, and readings of the same
// kind come one after another.
func (c *Controller) forgetClosed() {
	for ref, at := range c.closed {
		lookup := c.lookingUp && !c.lookupBegan.After(at)
		if c.asOfFollow.After(at) && !lookup {
			delete(c.closed, ref)
		}
	}
}

// onUnreadable draws from an open record that cannot be read what can be told.
func (c *Controller) onUnreadable(ref string, value []byte, now time.Time) {
	if !records.MarkedCancelled(value) {
		return
	}
	if j := c.jobs[ref]; j != nil && !j.cancelled {
		c.cancelJob(j, now) // its user is told so
	}
	c.cancelDependents(ref, now)
}

func (c *Controller) onRewritten(j *job, o *records.OpenJob, version uint64, now time.Time) {
	if version <= j.openVersion {
		return
	}
	j.openVersion, j.recordBehind = version, false
	if o.Cancelled && !j.cancelled {
		c.cancelJob(j, now)
	}
}

func (c *Controller) addJob(ref string, o *records.OpenJob, version uint64, now time.Time) {
	j := newJob(ref, o, version, now)
	c.jobs[ref] = j
	c.changed = true
	c.Log.Debug("job known", "job", ref, "class", o.Job.Class, "tasks", o.Job.Tasks, "age", now.Sub(j.at))
	c.addDependencies(j, now)
	if n := j.need(); n.GPUs > 0 {
		c.gpuRank = max(c.gpuRank, j.rank())
		c.gpuNeed = scheduler.Resources{Cores: max(c.gpuNeed.Cores, n.Cores), GPUs: max(c.gpuNeed.GPUs, n.GPUs), MemGB: max(c.gpuNeed.MemGB, n.MemGB)}
	}
}
