package leader

import (
	"context"
	"errors"
	"time"

	"marblehaven/internal/clock"
	"marblehaven/internal/cluster"
	"marblehaven/internal/codec"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/scheduler"
	"marblehaven/internal/tuning"
)

// storedRecords is what an earlier leader left.
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
func (c *Leader) load(ctx context.Context) (protocol.Revision, bool) {
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
		c.lease.confirmedByWatch, c.lease.confirmedByTerm = start, start
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
	for _, entry := range r.claims.Entries {
		var cl records.ProvisioningRequest
		if err := codec.Unmarshal(entry.Value, &cl); err == nil {
			c.provisioner.requests[cl.ID] = &provisioning{ProvisioningRequest: cl, recorded: true}
		}
	}
	if r.catalog.Value == nil {
		return
	}
	var types []protocol.MachineType
	if codec.Unmarshal(r.catalog.Value, &types) == nil {
		c.setTypes(types)
		c.catalog.loaded = true
	}
}

// restoreJobs takes in the open jobs with the pieces of their run records.
func (c *Leader) restoreJobs(entries []protocol.KeyValue, now time.Time) {
	open := map[protocol.JobID]bool{}
	pieces := map[protocol.JobID][]protocol.KeyValue{}
	for _, entry := range entries {
		jobID, number := records.ParseOpenKey(entry.Key)
		if number == records.NoSegment {
			open[jobID] = true
			c.applyOpenRecord(entry.Key, entry.Value, entry.Version, now)
			continue
		}
		pieces[jobID] = append(pieces[jobID], entry)
	}
	for jobID, of := range pieces {
		switch job := c.jobs.open[jobID]; {
		case job != nil:
			c.restoreRun(job, of, now)
		case !open[jobID]:
			// The job was closed by a leader that came to no end with it.
			for _, entry := range of {
				c.writer.orphans = append(c.writer.orphans, orphanedSegment{entry.Key, entry.Version})
			}
		}
		// Otherwise its open record cannot be read: users are told it is queued.
	}
	// A job may have been cancelled while nobody led: no event will tell.
	for _, job := range c.jobs.open {
		if job.cancelled {
			c.cancelJob(job, now)
		}
	}
}

// restoreRun takes in the pieces of a job's run record.
func (c *Leader) restoreRun(job *jobState, entries []protocol.KeyValue, now time.Time) {
	runs := map[int]records.RunRecord{}
	for _, entry := range entries {
		_, number := records.ParseOpenKey(entry.Key)
		if number < 0 || number >= max(1, records.SegmentCount(job.spec.Tasks)) {
			c.Log.Error("run record of no task", "key", entry.Key)
			c.writer.orphans = append(c.writer.orphans, orphanedSegment{entry.Key, entry.Version})
			continue
		}
		job.segment(number).version = entry.Version
		var r records.RunRecord
		if err := codec.Unmarshal(entry.Value, &r); err != nil {
			c.Log.Error("unreadable run record", "job", job.id, "piece", number, "err", err)
			job.recordUnreadable = true
			continue
		}
		runs[number] = r
	}
	whole := records.JoinSegments(runs)
	job.restore(&whole)
	if job.recordUnreadable {
		// Anything of it may run anywhere. It rests until that is surely
		// over, as on machines never heard from, and then goes on with what it
		// has no record of: workers kept the results of what was done.
		job.nextAttempt = max(job.nextAttempt, uint64(c.leadership.Term.FirstToken())+1) // no earlier attempt has this number
		job.backOff(c.agentLeaseExpiry(c.tookOverAt.Add(c.leaseDuration())))
	}
	for _, lp := range whole.Placements {
		c.restorePlacement(job, lp, now)
	}
}

func (c *Leader) restorePlacement(job *jobState, lp records.Placement, now time.Time) {
	machine := c.machineByID(lp.Machine, now)
	if machine.Zone == "" {
		machine.Zone = lp.Zone
	}
	placement := &cluster.Placement{TaskKey: cluster.TaskKey{Job: job.id, Task: lp.Task}, Attempt: lp.Attempt, Incarnation: lp.Incarnation,
		Machine: machine, Recorded: true, Sent: true, StartToken: c.termToken() - 1, Since: now}
	job.placements[lp.Task], machine.Placements[placement.TaskKey] = placement, placement
}

// applyOpenRecord takes in an open job's record.
func (c *Leader) applyOpenRecord(key string, value []byte, version protocol.Version, now time.Time) {
	jobID, _ := records.ParseOpenKey(key)
	job := c.jobs.open[jobID]
	var o records.OpenJob
	if err := codec.Unmarshal(value, &o); err != nil {
		c.Log.Error("unreadable job record", "job", jobID, "err", err)
		c.onUnreadableRecord(jobID, value, now)
		return
	}
	if job != nil {
		c.onRecordRewritten(job, &o, version, now)
		return
	}
	if _, over := c.jobs.closed[jobID]; over {
		return // read before it was closed
	}
	c.addJob(jobID, &o, version, now)
}

// pruneClosedJobs drops the closed jobs that no reading still under way can name: a
// reading that began after a job was closed has been taken in, and readings of the same
// kind come one after another.
func (c *Leader) pruneClosedJobs() {
	for jobID, at := range c.jobs.closed {
		lookup := c.dependencies.lookupInFlight && !c.dependencies.lookupBegan.After(at)
		if c.lease.confirmedByWatch.After(at) && !lookup {
			delete(c.jobs.closed, jobID)
		}
	}
}

// onUnreadableRecord draws from an open record that cannot be read what can be told.
func (c *Leader) onUnreadableRecord(jobID protocol.JobID, value []byte, now time.Time) {
	if !records.MarkedCancelled(value) {
		return
	}
	if job := c.jobs.open[jobID]; job != nil && !job.cancelled {
		c.cancelJob(job, now) // its user is told so
	}
	c.cancelDependents(jobID, now)
}

func (c *Leader) onRecordRewritten(job *jobState, o *records.OpenJob, version protocol.Version, now time.Time) {
	if version <= job.openVersion {
		return
	}
	job.openVersion, job.awaitsOpenRecord = version, false
	if o.Cancelled && !job.cancelled {
		c.cancelJob(job, now)
	}
}

func (c *Leader) addJob(jobID protocol.JobID, o *records.OpenJob, version protocol.Version, now time.Time) {
	job := newJob(jobID, o, version, now)
	c.jobs.open[jobID] = job
	c.cycle.needed = true
	c.Log.Debug("job known", "job", jobID, "class", o.Job.Class, "tasks", o.Job.Tasks, "age", now.Sub(job.acceptedAt))
	c.addDependencies(job, now)
	if n := job.request(); n.GPUs > 0 {
		c.jobs.gpuPriority = max(c.jobs.gpuPriority, job.priority())
		c.jobs.gpuRequest = scheduler.Resources{Cores: max(c.jobs.gpuRequest.Cores, n.Cores), GPUs: max(c.jobs.gpuRequest.GPUs, n.GPUs), MemGB: max(c.jobs.gpuRequest.MemGB, n.MemGB)}
	}
}
