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

func (c *Leader) readRecords(ctx context.Context) (r storedRecords, err error) {
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
func (c *Leader) load(ctx context.Context) (uint64, bool) {
	for ctx.Err() == nil {
		start := time.Now()
		r, err := c.readRecords(ctx)
		if err != nil {
			c.Log.Debug("reading records", "err", err)
			clock.Sleep(ctx, tuning.ElectionRetry)
			continue
		}
		c.restore(&r, time.Now())
		c.loadImageInventory(ctx)
		c.confirmedByWatch, c.confirmedByTerm = start, start
		return r.open.Revision, true
	}
	return 0, false
}

func (c *Leader) restore(r *storedRecords, now time.Time) {
	if r.cluster.Version > 0 {
		// Whatever it says, it was written when all controllers read pieces.
		c.useFormat(records.FormatSegmented)
	}
	c.restoreJobs(r.open.Entries, now)
	for _, it := range r.claims.Entries {
		var cl records.ProvisioningRequest
		if err := protocol.Unmarshal(it.Value, &cl); err == nil {
			c.provisionRequests[cl.ID] = &provisioning{ProvisioningRequest: cl, recorded: true}
		}
	}
	if r.catalog.Value == nil {
		return
	}
	var types []protocol.MachineType
	if protocol.Unmarshal(r.catalog.Value, &types) == nil {
		c.setTypes(types)
		c.typesLoaded = true
	}
}

// restoreJobs takes in the open jobs with the pieces of their run records.
func (c *Leader) restoreJobs(items []protocol.KeyValue, now time.Time) {
	open := map[string]bool{}
	pieces := map[string][]protocol.KeyValue{}
	for _, it := range items {
		ref, number := records.ParseOpenKey(it.Key)
		if number == records.NoSegment {
			open[ref] = true
			c.applyOpenRecord(it.Key, it.Value, it.Version, now)
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
				c.orphanedSegments = append(c.orphanedSegments, orphanedSegment{it.Key, it.Version})
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
func (c *Leader) restoreRun(j *jobState, items []protocol.KeyValue, now time.Time) {
	runs := map[int]records.RunRecord{}
	for _, it := range items {
		_, number := records.ParseOpenKey(it.Key)
		if number < 0 || number >= max(1, records.SegmentCount(j.spec.Tasks)) {
			c.Log.Error("run record of no task", "key", it.Key)
			c.orphanedSegments = append(c.orphanedSegments, orphanedSegment{it.Key, it.Version})
			continue
		}
		j.segment(number).version = it.Version
		var r records.RunRecord
		if err := protocol.Unmarshal(it.Value, &r); err != nil {
			c.Log.Error("unreadable run record", "job", j.id, "piece", number, "err", err)
			j.recordUnreadable = true
			continue
		}
		runs[number] = r
	}
	whole := records.JoinSegments(runs)
	j.restore(&whole)
	if j.recordUnreadable {
		// Anything of it may run anywhere. It rests until that is surely
		// over, as on machines never heard from, and then goes on with what it
		// has no record of: workers kept the results of what was done.
		j.nextAttempt = max(j.nextAttempt, c.leadership.Term<<tuning.TermShift+1) // no earlier attempt has this number
		j.backOff(c.agentLeaseExpiry(c.tookOverAt.Add(c.leaseDuration())))
	}
	for _, lp := range whole.Placements {
		c.restorePlacement(j, lp, now)
	}
}

func (c *Leader) restorePlacement(j *jobState, lp records.Placement, now time.Time) {
	m := c.machineByID(lp.Machine, now)
	if m.Zone == "" {
		m.Zone = lp.Zone
	}
	p := &cluster.Placement{TaskKey: cluster.TaskKey{Job: j.id, Task: lp.Task}, Attempt: lp.Attempt, Incarnation: lp.Incarnation,
		Machine: m, Recorded: true, Sent: true, StartToken: c.termToken() - 1, Since: now}
	j.placements[lp.Task], m.Placements[p.TaskKey] = p, p
}

// applyOpenRecord takes in an open job's record.
func (c *Leader) applyOpenRecord(key string, value []byte, version uint64, now time.Time) {
	ref, _ := records.ParseOpenKey(key)
	j := c.jobs[ref]
	var o records.OpenJob
	if err := protocol.Unmarshal(value, &o); err != nil {
		c.Log.Error("unreadable job record", "job", ref, "err", err)
		c.onUnreadableRecord(ref, value, now)
		return
	}
	if j != nil {
		c.onRecordRewritten(j, &o, version, now)
		return
	}
	if _, over := c.closedJobs[ref]; over {
		return // read before it was closed
	}
	c.addJob(ref, &o, version, now)
}

// pruneClosedJobs drops the closed jobs that no reading still under way can name: a
// reading that began after a job was closed has been taken in, and readings of the same
// kind come one after another.
func (c *Leader) pruneClosedJobs() {
	for ref, at := range c.closedJobs {
		lookup := c.lookingUp && !c.lookupBegan.After(at)
		if c.confirmedByWatch.After(at) && !lookup {
			delete(c.closedJobs, ref)
		}
	}
}

// onUnreadableRecord draws from an open record that cannot be read what can be told.
func (c *Leader) onUnreadableRecord(ref string, value []byte, now time.Time) {
	if !records.MarkedCancelled(value) {
		return
	}
	if j := c.jobs[ref]; j != nil && !j.cancelled {
		c.cancelJob(j, now) // its user is told so
	}
	c.cancelDependents(ref, now)
}

func (c *Leader) onRecordRewritten(j *jobState, o *records.OpenJob, version uint64, now time.Time) {
	if version <= j.openVersion {
		return
	}
	j.openVersion, j.awaitsOpenRecord = version, false
	if o.Cancelled && !j.cancelled {
		c.cancelJob(j, now)
	}
}

func (c *Leader) addJob(ref string, o *records.OpenJob, version uint64, now time.Time) {
	j := newJob(ref, o, version, now)
	c.jobs[ref] = j
	c.changed = true
	c.Log.Debug("job known", "job", ref, "class", o.Job.Class, "tasks", o.Job.Tasks, "age", now.Sub(j.acceptedAt))
	c.addDependencies(j, now)
	if n := j.request(); n.GPUs > 0 {
		c.gpuPriority = max(c.gpuPriority, j.priority())
		c.gpuRequest = scheduler.Resources{Cores: max(c.gpuRequest.Cores, n.Cores), GPUs: max(c.gpuRequest.GPUs, n.GPUs), MemGB: max(c.gpuRequest.MemGB, n.MemGB)}
	}
}
