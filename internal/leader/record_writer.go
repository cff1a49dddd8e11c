package leader

import (
	"errors"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"marblehaven/internal/cluster"
	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// recordWriter writes the leader's records, one commit at a time, within the write
// budget.
type recordWriter struct {
	inFlight   *commitBatch
	nextCommit time.Time // no commit starts before this time
	// failingSince is when the current series of failed commits began, zero if the last
	// commit succeeded. An unavailable store does not count as a failure.
	failingSince time.Time
	orphans      []orphanedSegment // to be deleted
	limiter      *rate.Limiter     // of mutations per second
}

func newRecordWriter(limits config.StateLimits) recordWriter {
	perSecond := limits.WriteRPS * tuning.LeaderWriteShare
	return recordWriter{limiter: rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), limits.TxnOps))}
}

// spend takes mutations from the write budget, at most a full burst.
func (w *recordWriter) spend(mutations int, now time.Time) {
	w.limiter.AllowN(now, min(mutations, w.limiter.Burst()))
}

// removeOrphans drops the orphans that a commit has deleted.
func (w *recordWriter) removeOrphans(deleted []orphanedSegment) {
	w.orphans = slices.DeleteFunc(w.orphans, func(o orphanedSegment) bool { return slices.Contains(deleted, o) })
}

// commitResult is the outcome of a commit.
type commitResult struct {
	batch      *commitBatch
	revision   protocol.Revision
	failedKeys []string
	err        error
}

// commit writes the pending records, as far as the limits of a transaction and the write
// budget allow. Only one commit is in flight at a time, so records are written in order.
// Each write of a job's records is conditional on the version of its key, so a delayed
// copy of an earlier commit cannot undo a newer one.
func (l *Leader) commit(now time.Time) {
	if l.writer.inFlight != nil || now.Before(l.writer.nextCommit) {
		return
	}
	budget := int(l.writer.limiter.TokensAt(now))
	pending := l.pendingWrites(now)
	if l.awaitsBudget(pending, budget) {
		return
	}
	batch := &commitBatch{maxMutations: min(l.Store.MaxMutations(), budget)}
	batch.precondition(records.KeyTerm, l.leadership.TermVersion)
	batch.addProvisioning(l.provisioner.requests)
	l.addPendingWrites(batch, pending, budget, now)
	batch.addObsolete(l.provisioner.requests)
	batch.addOrphans(l.writer.orphans)
	mutations := len(batch.transaction.Mutations)
	if mutations == 0 {
		return
	}
	l.writer.spend(mutations, now)
	l.writer.inFlight = batch
	go l.runCommit(batch)
}

// runCommit repeats a commit until its outcome is final, and posts the outcome.
func (l *Leader) runCommit(batch *commitBatch) {
	reply, err := l.Store.CommitUntilKnown(l.ctx, batch.transaction, records.KeyTerm)
	l.post(commitResult{batch, reply.Revision, reply.FailedKeys, err})
}

// addSegment adds a segment of a job's run record to a commit.
func (l *Leader) addSegment(batch *commitBatch, job *jobState, number int, now time.Time) {
	record, bytes, err := codec.EncodeSized(job.segmentRecord(number))
	if err != nil {
		l.Log.Error("run record cannot be encoded and is not written", "job", job.id, "err", err)
		return
	}
	if bytes > l.Store.MaxValueBytes() {
		l.onRecordTooLarge(job, number, now)
		return
	}
	if batch.fits(1, bytes) {
		batch.writeSegment(job, number, record, bytes)
	}
}

// onRecordTooLarge handles a segment that exceeds the store's limit for a value. Segment
// 0 is split if the format allows it: the tasks of other segments are written to those
// segments first, and the rest then fits in segment 0. Otherwise the placements that are
// not recorded yet are withdrawn, and the segment is written when enough of its tasks
// have ended.
func (l *Leader) onRecordTooLarge(job *jobState, number int, now time.Time) {
	l.cycle.request()
	segment := job.segment(number)
	if l.formats.segmented() && number == 0 && job.splitSegments(segment.startsWait, now) {
		return
	}
	l.Log.Error("run record segment exceeds the value limit, its unsent starts are withdrawn", "job", job.id, "segment", number, "tasks", len(job.placements))
	var unsent []*cluster.Placement
	for _, placement := range job.placements {
		if !placement.Recorded && job.segmentHolds(number, placement.Task) {
			unsent = append(unsent, placement)
		}
	}
	for _, placement := range unsent {
		l.withdrawPlacement(placement, now)
	}
	segment.startsWait, segment.dirtySince = false, now
	job.backOff(now.Add(tuning.MachineBackoff))
}

func (r commitResult) apply(leader *Leader, now time.Time) { leader.onCommit(r, now) }

func (l *Leader) onCommit(result commitResult, now time.Time) {
	l.writer.inFlight = nil
	l.cycle.request()
	if result.err != nil {
		l.onCommitFailed(result, now)
		return
	}
	l.writer.failingSince = time.Time{}
	for _, write := range result.batch.segments {
		l.onSegmentWritten(write, result.revision)
	}
	for _, closing := range result.batch.closed {
		l.onJobClosed(closing, now)
	}
	for _, request := range result.batch.provisioned {
		request.recorded = true
	}
	for _, request := range result.batch.obsolete {
		delete(l.provisioner.requests, request.ID)
	}
	l.writer.removeOrphans(result.batch.orphans)
	l.dispatchAll(now)
}

// onSegmentWritten releases what waited for the write of a segment: its starts may be
// sent, and agents may forget its completed tasks.
func (l *Leader) onSegmentWritten(write segmentWrite, revision protocol.Revision) {
	write.job.segment(write.number).version = revision.Version()
	for _, task := range write.done {
		delete(write.job.unrecordedDone, task)
	}
	for _, placement := range write.placed {
		if write.job.placements[placement.Task] == placement && !placement.Recorded {
			placement.Recorded = true
			placement.Machine.Outbox = append(placement.Machine.Outbox, placement)
			l.dispatcher.add(placement.Machine)
		}
	}
}

// onJobClosed removes a job from the open jobs after its final record was written.
func (l *Leader) onJobClosed(closing jobClosing, now time.Time) {
	job := closing.job
	l.Log.Debug("job closed", "job", job.id, "phase", closing.final.Phase)
	for number, segment := range job.segments {
		if segment.version > 0 && !segment.removed {
			l.writer.orphans = append(l.writer.orphans, orphanedSegment{records.SegmentKey(job.id, number), segment.version})
		}
	}
	l.jobs.close(job, now)
	l.dependencies.removeDependent(job)
	l.resolveDependency(job.id, dependencyOutcome{closing.final.Phase, time.UnixMilli(closing.final.ClosedMS)})
}

// onCommitFailed handles a commit that was not executed or whose outcome is unknown.
func (l *Leader) onCommitFailed(result commitResult, now time.Time) {
	result.batch.markUnwritten()
	conflict := errors.Is(result.err, kvstore.ErrConflict)
	switch {
	case errors.Is(result.err, kvstore.ErrInDoubt):
		// The transaction may have been executed, or may be executed later. The next term
		// changes the term key, which rules out a later execution, and its leader reads
		// what was written.
		l.Log.Error("transaction outcome unknown, giving up the term", "err", result.err)
		l.OnNewerTerm(l.leadership.Term + 1)
		return
	case conflict && slices.Contains(result.failedKeys, records.KeyTerm):
		l.Log.Info("another controller holds a newer term, giving up the term")
		l.OnNewerTerm(l.leadership.Term + 1)
		return
	case conflict:
		l.Log.Debug("commit rejected by preconditions, its records are written again", "keys", result.failedKeys)
	case errors.Is(result.err, kvstore.ErrUnavailable):
		l.writer.nextCommit = now.Add(tuning.StoreRetryPause)
		return
	default:
		// The store's limits have become smaller. The next commit respects the new ones.
		l.Log.Error("commit failed, its records are written again", "err", result.err)
	}
	if l.writer.failingSince.IsZero() {
		l.writer.failingSince = now
	}
	if now.Sub(l.writer.failingSince) > tuning.CommitFailureLimit {
		// The stored records differ from this leader's state, so no further commit would
		// succeed. The leader of a new term reads the records from the store.
		l.Log.Error("stored records differ from this leader's state, giving up the term", "keys", result.failedKeys, "err", result.err)
		l.OnNewerTerm(l.leadership.Term + 1)
		return
	}
	l.withdrawStarts(result, now)
	l.writer.nextCommit = now.Add(tuning.CycleInterval)
}

// markUnwritten marks everything that the batch would have written as still to be
// written.
func (b *commitBatch) markUnwritten() {
	for _, write := range b.segments {
		segment := write.job.segment(write.number)
		segment.dirty = true
		segment.startsWait = segment.startsWait || len(write.placed) > 0
	}
	for _, closing := range b.closed {
		for number := range closing.job.segments {
			closing.job.segments[number].removed = false
		}
	}
}

// withdrawStarts withdraws the new starts of jobs whose open record has changed: such a
// job was cancelled in the meantime, and the watch has not delivered the event yet. The
// next commit writes the rest.
func (l *Leader) withdrawStarts(result commitResult, now time.Time) {
	for _, write := range result.batch.segments {
		if !slices.Contains(result.failedKeys, records.OpenKey(write.job.id)) {
			continue
		}
		for _, placement := range write.placed {
			if write.job.placements[placement.Task] == placement {
				l.withdrawPlacement(placement, now)
			}
		}
	}
}
