package api

import (
	"context"
	"errors"
	"fmt"

	"marblehaven/internal/codec"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// errUnreadable: a record is there but cannot be read.
var errUnreadable = errors.New("unreadable record")

// jobRecord is a job as found in the state service.
type jobRecord struct {
	status     protocol.JobStatus
	open       records.OpenJob
	version    protocol.Version // of the open record; 0: the job is over
	unreadable bool             // its open record cannot be read, so it cannot be rewritten
}

// readJob reads a job; nil means that it was never accepted. The final record is
// read after the open one, and closing moves the job in one commit, so a job
// found at neither place was at neither when the open record was read.
func (u *Users) readJob(ctx context.Context, jobID protocol.JobID) (*jobRecord, error) {
	if status, ok := u.finalStatus(jobID); ok {
		return &jobRecord{status: status}, nil
	}
	entries, err := u.readOpenRecords(ctx, jobID)
	if err != nil {
		return nil, err
	}
	if len(entries) > 0 {
		return u.decodeOpen(jobID, entries), nil
	}
	return u.readFinal(ctx, jobID)
}

// readOpenRecords reads the records of an open job; none if it is not open.
func (u *Users) readOpenRecords(ctx context.Context, jobID protocol.JobID) ([]protocol.KeyValue, error) {
	if u.sharedReads.enabled() {
		return u.sharedReads.records(ctx, jobID)
	}
	// All in one read: o/<ref>, o/<ref>/t and its further pieces sort next to each other.
	page, err := u.Store.List(ctx, records.OpenKey(jobID), "", 1+tuning.SegmentsRead)
	if errors.Is(err, kvstore.ErrThrottled) {
		u.sharedReads.noteThrottled()
	}
	if err != nil {
		return nil, err
	}
	if len(page.Entries) == 0 || page.Entries[0].Key != records.OpenKey(jobID) {
		return nil, nil
	}
	return page.Entries, nil
}

// finalStatus returns the remembered status of a job that is over.
func (u *Users) finalStatus(jobID protocol.JobID) (protocol.JobStatus, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	status, ok := u.finals[jobID]
	return status, ok
}

// decodeOpen makes of an open job's records what its user may be told.
func (u *Users) decodeOpen(jobID protocol.JobID, entries []protocol.KeyValue) *jobRecord {
	record := &jobRecord{version: entries[0].Version, status: protocol.JobStatus{ID: jobID, Phase: protocol.PhaseQueued}}
	if err := codec.Unmarshal(entries[0].Value, &record.open); err != nil {
		// That the record is there says that the job was accepted. Refusing
		// to answer would make it forgotten.
		u.Log.Error("unreadable job record", "job", jobID, "err", err)
		record.open = records.OpenJob{Cancelled: records.MarkedCancelled(entries[0].Value)}
		record.unreadable = true
	}
	segments := map[int]records.RunRecord{}
	for _, entry := range entries[1:] {
		owner, segment := records.ParseOpenKey(entry.Key)
		var run records.RunRecord
		if owner == jobID && segment != records.NoSegment && codec.Unmarshal(entry.Value, &run) == nil {
			segments[segment] = run
		}
	}
	joined := records.JoinSegments(segments)
	record.status.Done, record.status.Running = joined.Done.Count(), len(joined.Placements)
	if record.status.Running > 0 {
		record.status.Phase = protocol.PhaseRunning
	}
	if record.open.Cancelled {
		record.status.Phase = protocol.PhaseCancelled
		u.acknowledged.add(jobID)
	}
	return record
}

// readFinal reads the final record of a job; nil means that there is none.
func (u *Users) readFinal(ctx context.Context, jobID protocol.JobID) (*jobRecord, error) {
	entry, err := u.Store.Get(ctx, records.FinalKey(jobID))
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
	// Nothing of a job with a final record can run, so to say that it is cancelled
	// is no acknowledgment that a leader would have to know of.
	status := protocol.JobStatus{ID: jobID, Phase: final.Phase, Done: final.TasksDone}
	u.mu.Lock()
	if len(u.finals) >= tuning.FinalCache {
		clear(u.finals)
	}
	u.finals[jobID] = status
	u.mu.Unlock()
	return &jobRecord{status: status}, nil
}
