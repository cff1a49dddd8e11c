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

// storedRecords holds the records that earlier leaders have left in the store.
type storedRecords struct {
	open, provisioning protocol.KeyValuePage
	catalog, cluster   protocol.KeyValue
}

// load restores the state of the leader from the stored records, and returns the revision
// from which to watch the open records. ok is false if the term ends first.
func (l *Leader) load(ctx context.Context) (revision protocol.Revision, ok bool) {
	for ctx.Err() == nil {
		start := time.Now()
		stored, err := l.readRecords(ctx)
		if err != nil {
			l.Log.Debug("reading the stored records failed, the read is retried", "err", err)
			clock.Sleep(ctx, tuning.StoreRetryPause)
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
		// The content of the record does not matter: it is written only once all
		// controllers support segments.
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

// restoreJobs adds the open jobs with the segments of their run records.
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
		// Otherwise the open record exists and cannot be decoded. Its segments are kept,
		// and users see the job as queued.
	}
	// A job may have been cancelled while there was no leader. The watch starts too late
	// to deliver an event for it.
	for _, job := range l.jobs.open {
		if job.cancelled {
			l.cancelJob(job, now)
		}
	}
}

// restoreRunRecord restores the state of a job from the segments of its run record.
func (l *Leader) restoreRunRecord(job *jobState, entries []protocol.KeyValue, now time.Time) {
	segments := map[int]records.RunRecord{}
	for _, entry := range entries {
		_, number := records.ParseOpenKey(entry.Key)
		if number < 0 || number >= max(1, records.SegmentCount(job.spec.Tasks)) {
			l.Log.Error("run record segment beyond the job's tasks, the segment is deleted", "key", entry.Key)
			l.writer.orphans = append(l.writer.orphans, orphanedSegment{entry.Key, entry.Version})
			continue
		}
		job.segment(number).version = entry.Version
		var segment records.RunRecord
		if err := codec.Unmarshal(entry.Value, &segment); err != nil {
			l.Log.Error("run record segment cannot be decoded, the job backs off until the tasks in it must have ended", "job", job.id, "segment", number, "err", err)
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

// backOffUnreadable prevents starts of a job with an undecodable segment until every
// attempt that the segment may name must have ended. The backoff lasts as long as the wait
// for attempts on a machine that has sent this leader no heartbeat (see ensureMachine).
// Then the job starts every task that no decodable segment names. If such a task was
// completed before, its new attempt ends at once as done, since agents keep the results.
func (l *Leader) backOffUnreadable(job *jobState) {
	firstOfTerm := uint64(l.termToken()) + 1 // no earlier attempt has this number
	job.nextAttempt = max(job.nextAttempt, firstOfTerm)
	job.backOff(l.agentLeaseExpiry(l.tookOverAt.Add(l.lease.duration)))
}

// restorePlacement adds a placement from the run record. It counts as sent, since the
// earlier leader may have sent its start.
func (l *Leader) restorePlacement(job *jobState, stored records.Placement, now time.Time) {
	machine := l.ensureMachine(stored.Machine, now)
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
	machine.InheritPlacement(placement)
}
