package api

import (
	"context"
	"errors"
	"fmt"

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
	version    uint64 // of the open record; 0: the job is over
	unreadable bool   // its open record cannot be read, so it cannot be rewritten
}

// find reads a job; nil means that it was never accepted. The final record is
// read after the open one, and closing moves the job in one commit, so a job
// found at neither place was at neither when the open record was read.
func (u *Users) find(ctx context.Context, ref string) (*jobRecord, error) {
	if st, ok := u.finalStatus(ref); ok {
		return &jobRecord{status: st}, nil
	}
	items, err := u.openRecords(ctx, ref)
	if err != nil {
		return nil, err
	}
	if len(items) > 0 {
		return u.openJob(ref, items), nil
	}
	return u.finalJob(ctx, ref)
}

// openRecords reads the records of an open job; none if it is not open.
func (u *Users) openRecords(ctx context.Context, ref string) ([]protocol.KeyValue, error) {
	if u.sharedReads.enabled() {
		return u.sharedReads.records(ctx, ref)
	}
	// All in one read: o/<ref>, o/<ref>/t and its further pieces sort next to each other.
	page, err := u.Store.List(ctx, records.OpenKey(ref), "", 1+tuning.SegmentsRead)
	if errors.Is(err, kvstore.ErrThrottled) {
		u.sharedReads.noteThrottled()
	}
	if err != nil {
		return nil, err
	}
	if len(page.Entries) == 0 || page.Entries[0].Key != records.OpenKey(ref) {
		return nil, nil
	}
	return page.Entries, nil
}

// finalStatus returns the remembered status of a job that is over.
func (u *Users) finalStatus(ref string) (protocol.JobStatus, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	status, ok := u.finals[ref]
	return status, ok
}

// openJob makes of an open job's records what its user may be told.
func (u *Users) openJob(ref string, items []protocol.KeyValue) *jobRecord {
	k := &jobRecord{version: items[0].Version, status: protocol.JobStatus{ID: ref, Phase: protocol.PhaseQueued}}
	if err := protocol.Unmarshal(items[0].Value, &k.open); err != nil {
		// That the record is there says that the job was accepted. Refusing
		// to answer would make it forgotten.
		u.Log.Error("unreadable job record", "job", ref, "err", err)
		k.open = records.OpenJob{Cancelled: records.MarkedCancelled(items[0].Value)}
		k.unreadable = true
	}
	pieces := map[int]records.RunRecord{}
	for _, it := range items[1:] {
		of, number := records.ParseOpenKey(it.Key)
		var r records.RunRecord
		if of == ref && number != records.NoSegment && protocol.Unmarshal(it.Value, &r) == nil {
			pieces[number] = r
		}
	}
	run := records.JoinSegments(pieces)
	k.status.Done, k.status.Running = run.Done.Count(), len(run.Placements)
	if k.status.Running > 0 {
		k.status.Phase = protocol.PhaseRunning
	}
	if k.open.Cancelled {
		k.status.Phase = protocol.PhaseCancelled
		u.acknowledged.add(ref)
	}
	return k
}

// finalJob reads the final record of a job; nil means that there is none.
func (u *Users) finalJob(ctx context.Context, ref string) (*jobRecord, error) {
	it, err := u.Store.Get(ctx, records.FinalKey(ref))
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var f records.FinalRecord
	if err := protocol.Unmarshal(it.Value, &f); err != nil {
		return nil, fmt.Errorf("%w of %s: %w", errUnreadable, ref, err)
	}
	// Nothing of a job with a final record can run, so to say that it is cancelled
	// is no acknowledgment that a leader would have to know of.
	st := protocol.JobStatus{ID: ref, Phase: f.Phase, Done: f.TasksDone}
	u.mu.Lock()
	if len(u.finals) >= tuning.FinalCache {
		clear(u.finals)
	}
	u.finals[ref] = st
	u.mu.Unlock()
	return &jobRecord{status: st}, nil
}
