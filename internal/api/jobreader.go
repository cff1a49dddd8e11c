package api

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"

	"marblehaven/internal/codec"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// jobReader reads the records of jobs from the key-value store. Only final statuses are
// cached. It is safe for concurrent use.
type jobReader struct {
	store         *kvstore.Client
	shared        *sharedReads
	finalStatuses *finalStatuses
	acknowledged  *acknowledgedCancellations
	log           *slog.Logger
}

// read returns a job, or nil if the job was never accepted. The final record is read after
// the open record, and a job is closed by one transaction that replaces the open record by
// the final record. So if neither is found, neither existed when the open record was read.
func (j *jobReader) read(ctx context.Context, jobID protocol.JobID) (*jobRecord, error) {
	if status, ok := j.finalStatuses.get(jobID); ok {
		return &jobRecord{status: status}, nil
	}
	entries, err := j.openRecords(ctx, jobID)
	if err != nil {
		return nil, err
	}
	if len(entries) > 0 {
		return j.decodeOpen(jobID, entries), nil
	}
	return j.readFinal(ctx, jobID)
}

// lookupResult holds a job, which is nil if it was never accepted, or the error that
// prevented the read.
type lookupResult struct {
	jobID protocol.JobID
	job   *jobRecord
	err   error
}

func (r lookupResult) isOpen() bool { return r.job != nil && r.job.isOpen() }

func (r lookupResult) neverAccepted() bool { return r.err == nil && r.job == nil }

// readAll reads several jobs concurrently.
func (j *jobReader) readAll(ctx context.Context, jobIDs []protocol.JobID) []lookupResult {
	results := make([]lookupResult, len(jobIDs))
	var wg sync.WaitGroup
	for i, jobID := range jobIDs {
		results[i].jobID = jobID
		wg.Go(func() { results[i].job, results[i].err = j.read(ctx, jobID) })
	}
	wg.Wait()
	return results
}

// openRecords returns the open record of a job, followed by the segments of its run record
// up to tuning.SegmentsReadMax, or nothing if the job is not open.
func (j *jobReader) openRecords(ctx context.Context, jobID protocol.JobID) ([]protocol.KeyValue, error) {
	if j.shared.enabled() {
		return j.shared.records(ctx, jobID)
	}
	// One list call reads them all: in key order the segments of the run record follow the
	// open record directly.
	page, err := j.store.List(ctx, records.OpenKey(jobID), "", 1+tuning.SegmentsReadMax)
	if errors.Is(err, kvstore.ErrThrottled) {
		j.shared.recordThrottled()
	}
	if err != nil {
		return nil, err
	}
	if len(page.Entries) == 0 || page.Entries[0].Key != records.OpenKey(jobID) {
		return nil, nil
	}
	return page.Entries, nil
}

// decodeOpen decodes the records of an open job. A cancelled job is added to the
// acknowledged cancellations here, before any reply can report the cancellation.
func (j *jobReader) decodeOpen(jobID protocol.JobID, entries []protocol.KeyValue) *jobRecord {
	record := &jobRecord{version: entries[0].Version, status: protocol.JobStatus{ID: jobID, Phase: protocol.PhaseQueued}}
	if err := codec.Unmarshal(entries[0].Value, &record.open); err != nil {
		// A record that cannot be decoded still proves that the job was accepted. Without a
		// reply the user would have to assume that the job was lost.
		j.log.Error("open record cannot be decoded, its job is reported as accepted", "job", jobID, "err", err)
		record.open = records.OpenJob{Cancelled: records.MarkedCancelled(entries[0].Value)}
		record.unreadable = true
	}
	run := decodeRun(jobID, entries[1:])
	record.status.Done, record.status.Running = run.Done.Count(), len(run.Placements)
	if record.status.Running > 0 {
		record.status.Phase = protocol.PhaseRunning
	}
	if record.open.Cancelled {
		record.status.Phase = protocol.PhaseCancelled
		j.acknowledged.add(jobID)
	}
	return record
}

// decodeRun joins the segments of a job's run record. Entries of other jobs and segments
// that cannot be decoded are left out: the counts of tasks are for display only.
func decodeRun(jobID protocol.JobID, entries []protocol.KeyValue) records.RunRecord {
	segments := map[int]records.RunRecord{}
	for _, entry := range entries {
		owner, segment := records.ParseOpenKey(entry.Key)
		var run records.RunRecord
		if owner == jobID && segment != records.NoSegment && codec.Unmarshal(entry.Value, &run) == nil {
			segments[segment] = run
		}
	}
	return records.JoinSegments(segments)
}

// readFinal returns a job with the status in its final record, or nil if it has no final
// record. No task of a job with a final record can run, so a reply that reports such a job
// as cancelled need not be recorded as an acknowledgment for the leader.
func (j *jobReader) readFinal(ctx context.Context, jobID protocol.JobID) (*jobRecord, error) {
	entry, err := j.store.Get(ctx, records.FinalKey(jobID))
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var final records.FinalRecord
	if err := codec.Unmarshal(entry.Value, &final); err != nil {
		return nil, fmt.Errorf("%w of %s: %w", errUnreadable, jobID, err)
	}
	status := protocol.JobStatus{ID: jobID, Phase: final.Phase, Done: final.TasksDone}
	j.finalStatuses.put(status)
	return &jobRecord{status: status}, nil
}
