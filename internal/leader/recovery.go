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
	"marblehaven/internal/tuning"
)

// storedRecords is what an earlier leader left in the store.
type storedRecords struct {
	open, provisioning protocol.KeyValuePage
	catalog, cluster   protocol.KeyValue
}

// load reads the records that an earlier leader left, and returns the revision from
// which open records are to be watched; ok is false if the term ends before.
func (l *Leader) load(ctx context.Context) (revision protocol.Revision, ok bool) {
	for ctx.Err() == nil {
		start := time.Now()
		stored, err := l.readRecords(ctx)
		if err != nil {
			l.Log.Debug("reading records failed, it is tried again", "err", err)
			clock.Sleep(ctx, tuning.ElectionRetry)
			continue
		}
		l.restore(&stored, time.Now())
		l.loadImageInventory(ctx)
		l.lease.confirmedByWatch, l.lease.confirmedByTerm = start, start
		return stored.open.Revision, true
	}
	return 0, false
}

func (l *Leader) readRecords(ctx context.Context) (stored storedRecords, err error) {
	if stored.open, err = l.Store.ListAll(ctx, records.PrefixOpen); err != nil {
		return stored, err
	}
	if stored.provisioning, err = l.Store.ListAll(ctx, records.PrefixProvisioning); err != nil {
		return stored, err
	}
	if stored.catalog, err = l.Store.Get(ctx, records.KeyCatalog); err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return stored, err
	}
	if stored.cluster, err = l.Store.Get(ctx, records.KeyClusterVersion); err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return stored, err
	}
	return stored, nil
}

func (l *Leader) restore(stored *storedRecords, now time.Time) {
	if stored.cluster.Version > 0 {
		// Whatever it says, it was written when all controllers read segments.
		l.useFormat(records.FormatSegmented)
	}
	l.restoreJobs(stored.open.Entries, now)
	for _, entry := range stored.provisioning.Entries {
		var request records.ProvisioningRequest
		if err := codec.Unmarshal(entry.Value, &request); err == nil {
			l.provisioner.requests[request.ID] = &provisioningState{ProvisioningRequest: request, recorded: true}
		}
	}
	if stored.catalog.Value == nil {
		return
	}
	var types []protocol.MachineType
	if codec.Unmarshal(stored.catalog.Value, &types) == nil {
		l.setMachineTypes(types)
		l.catalog.loaded = true
	}
}

// restoreJobs takes in the open jobs with the segments of their run records.
func (l *Leader) restoreJobs(entries []protocol.KeyValue, now time.Time) {
	isOpen := map[protocol.JobID]bool{}
	segments := map[protocol.JobID][]protocol.KeyValue{}
	for _, entry := range entries {
		jobID, number := records.ParseOpenKey(entry.Key)
		if number == records.NoSegment {
			isOpen[jobID] = true
			l.applyOpenRecord(entry.Key, entry.Value, entry.Version, now)
			continue
		}
		segments[jobID] = append(segments[jobID], entry)
	}
	for jobID, jobSegments := range segments {
		switch job := l.jobs.open[jobID]; {
		case job != nil:
			l.restoreRunRecord(job, jobSegments, now)
		case !isOpen[jobID]:
			// The job was closed by a leader that did not delete all of its segments.
			for _, entry := range jobSegments {
				l.writer.orphans = append(l.writer.orphans, orphanedSegment{entry.Key, entry.Version})
			}
		}
		// Otherwise the open record cannot be read: users are told that the job is queued.
	}
	// A job may have been cancelled while there was no leader: no event will tell.
	for _, job := range l.jobs.open {
		if job.cancelled {
			l.cancelJob(job, now)
		}
	}
}

// restoreRunRecord takes in the segments of a job's run record.
func (l *Leader) restoreRunRecord(job *jobState, entries []protocol.KeyValue, now time.Time) {
	segments := map[int]records.RunRecord{}
	for _, entry := range entries {
		_, number := records.ParseOpenKey(entry.Key)
		if number < 0 || number >= max(1, records.SegmentCount(job.spec.Tasks)) {
			l.Log.Error("run record of no task, it is deleted", "key", entry.Key)
			l.writer.orphans = append(l.writer.orphans, orphanedSegment{entry.Key, entry.Version})
			continue
		}
		job.segment(number).version = entry.Version
		var segment records.RunRecord
		if err := codec.Unmarshal(entry.Value, &segment); err != nil {
			l.Log.Error("unreadable run record, the job backs off until its tasks have surely ended", "job", job.id, "segment", number, "err", err)
			job.recordUnreadable = true
			continue
		}
		segments[number] = segment
	}
	whole := records.JoinSegments(segments)
	job.restore(&whole)
	if job.recordUnreadable {
		l.backOffUnreadable(job)
	}
	for _, placement := range whole.Placements {
		l.restorePlacement(job, placement, now)
	}
}

// backOffUnreadable keeps a job of which a segment cannot be read from starting
// anything until all that the segment may name has surely ended, as on machines that
// were never heard of. Then the job goes on with what it has no record of: agents
// have kept the results of what was done.
func (l *Leader) backOffUnreadable(job *jobState) {
	firstOfTerm := uint64(l.termToken()) + 1 // no earlier attempt has this number
	job.nextAttempt = max(job.nextAttempt, firstOfTerm)
	job.backOff(l.agentLeaseExpiry(l.tookOverAt.Add(l.lease.duration)))
}

// restorePlacement takes in a recorded placement. Its start may have been sent by the
// earlier leader.
func (l *Leader) restorePlacement(job *jobState, stored records.Placement, now time.Time) {
	machine := l.machineByID(stored.Machine, now)
	if machine.Zone == "" {
		machine.Zone = stored.Zone
	}
	placement := &cluster.Placement{
		TaskKey:     cluster.TaskKey{Job: job.id, Task: stored.Task},
		Attempt:     stored.Attempt,
		Incarnation: stored.Incarnation,
		Machine:     machine,
		Recorded:    true,
		Sent:        true,
		StartToken:  l.termToken() - 1,
		Since:       now,
	}
	job.placements[stored.Task] = placement
	machine.Placements[placement.TaskKey] = placement
}
