package leader

import (
	"errors"
	"slices"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/codec"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// commitBatch is one commit under way and what it means once applied.
type commitBatch struct {
	transaction  protocol.Transaction
	segments     []segmentWrite
	closed       []jobClosing
	provisioned  []*provisioning   // written
	obsolete     []*provisioning   // deleted
	orphans      []orphanedSegment // deleted
	maxMutations int               // changes that the transaction may have
	bytes        int
}

// segmentWrite is a piece of a job's run record in a batch.
type segmentWrite struct {
	job    *jobState
	number int
	placed []*cluster.Placement
	done   []int
}

// jobClosing is a job that a batch moves to its final record, and what that says.
type jobClosing struct {
	job   *jobState
	final records.FinalRecord
}

// orphanedSegment is a piece of a finished job's run record.
type orphanedSegment struct {
	key     string
	version protocol.Version
}

// fits tells whether some more changes of so many bytes as JSON fit.
func (b *commitBatch) fits(changes, bytes int) bool {
	return len(b.transaction.Mutations)+changes <= b.maxMutations && b.bytes+bytes <= tuning.CommitBytes
}

func (b *commitBatch) precondition(key string, version protocol.Version) {
	b.transaction.Preconditions = append(b.transaction.Preconditions, protocol.Precondition{Key: key, Version: version})
}

func (b *commitBatch) put(key string, value any, bytes int) {
	b.transaction.Mutations = append(b.transaction.Mutations, protocol.Mutation{Set: key, Value: value})
	b.bytes += bytes
}

func (b *commitBatch) remove(key string) {
	b.transaction.Mutations = append(b.transaction.Mutations, protocol.Mutation{Delete: key})
	b.bytes += smallRecordBytes
}

// smallRecordBytes is more than a record of fixed form takes in a transaction, in
// bytes as JSON.
const smallRecordBytes = 400

// commit writes what is due, as far as the limits of a commit and the write
// budget go. One commit is under way at a time, so records never overtake one
// another; each is guarded by its own version, so a late copy of an earlier
// commit cannot undo a newer one.
func (c *Leader) commit(now time.Time) {
	if c.writer.inFlight != nil || now.Before(c.writer.nextCommit) {
		return
	}
	budget := int(c.writer.limiter.TokensAt(now))
	due := c.pendingWrites(now)
	if c.awaitsBudget(due, budget) {
		return
	}
	batch := &commitBatch{maxMutations: min(c.Store.MaxMutations(), budget)}
	batch.precondition(records.KeyTerm, c.leadership.TermVersion)
	c.addProvisioning(batch)
	c.addJobs(batch, due, budget, now)
	c.addObsoleteProvisioning(batch)
	c.addOrphanedSegments(batch)
	changes := len(batch.transaction.Mutations)
	if changes == 0 {
		return
	}
	c.writer.limiter.AllowN(now, min(changes, c.writer.limiter.Burst()))
	c.writer.inFlight = batch
	go c.runCommit(batch)
}

func (c *Leader) addProvisioning(batch *commitBatch) {
	for _, request := range c.provisioner.requests {
		if !request.recorded && batch.fits(1, smallRecordBytes) {
			batch.put(records.ProvisioningKey(request.ProvisioningRequest.ID), request.ProvisioningRequest, smallRecordBytes)
			batch.provisioned = append(batch.provisioned, request)
		}
	}
}

func (c *Leader) addObsoleteProvisioning(batch *commitBatch) {
	for _, request := range c.provisioner.requests {
		if request.recorded && request.obsolete && batch.fits(1, smallRecordBytes) {
			batch.remove(records.ProvisioningKey(request.ProvisioningRequest.ID))
			batch.obsolete = append(batch.obsolete, request)
		}
	}
}

// addOrphanedSegments removes pieces of jobs that were closed in an earlier commit.
func (c *Leader) addOrphanedSegments(batch *commitBatch) {
	for _, l := range c.writer.orphans {
		if !batch.fits(1, smallRecordBytes) {
			return
		}
		batch.precondition(l.key, l.version)
		batch.remove(l.key)
		batch.orphans = append(batch.orphans, l)
	}
}

// close moves a job from its open to its final record. Pieces of its run record
// that do not fit in the transaction are removed later: without an open record
// nothing counts them. That there is no final record yet is a condition as well, by
// which a conflict tells whether the transaction was executed (statestore.Apply).
func (b *commitBatch) close(job *jobState, now time.Time) {
	if !b.fits(closeMutations+1, closeMutations*smallRecordBytes) {
		return
	}
	final := records.FinalRecord{Phase: protocol.PhaseDone, TasksDone: job.doneCount, ClosedMS: now.UnixMilli()}
	if job.cancelled {
		final.Phase = protocol.PhaseCancelled
	}
	b.precondition(records.OpenKey(job.id), job.openVersion)
	b.remove(records.OpenKey(job.id))
	b.precondition(records.FinalKey(job.id), 0)
	b.put(records.FinalKey(job.id), final, smallRecordBytes)
	for number := range job.segments {
		segment := &job.segments[number]
		if segment.version == 0 || !b.fits(1, smallRecordBytes) {
			continue
		}
		key := records.SegmentKey(job.id, number)
		b.precondition(key, segment.version)
		b.remove(key)
		segment.removed = true
	}
	b.closed = append(b.closed, jobClosing{job, final})
}

// addSegment writes a piece of a job's run record.
func (c *Leader) addSegment(batch *commitBatch, job *jobState, number int, now time.Time) {
	record, size, err := codec.EncodeSized(job.segmentRecord(number))
	if err != nil {
		c.Log.Error("encoding a run record", "job", job.id, "err", err)
		return
	}
	if size > c.Store.MaxValueBytes() {
		c.onRecordTooLarge(job, number, now)
		return
	}
	if !batch.fits(1, size) {
		return
	}
	w := segmentWrite{job: job, number: number}
	for _, placement := range job.placements {
		if !placement.Recorded && job.owns(number, placement.Task) {
			w.placed = append(w.placed, placement)
		}
	}
	for task := range job.unrecordedDone {
		if job.owns(number, task) {
			w.done = append(w.done, task)
		}
	}
	segment := job.segment(number)
	key := records.SegmentKey(job.id, number)
	batch.precondition(records.OpenKey(job.id), job.openVersion)
	batch.precondition(key, segment.version)
	batch.put(key, record, size)
	batch.segments = append(batch.segments, w)
	segment.dirty, segment.holdsStarts = false, false
}

// onRecordTooLarge finds a way on for a record that the state service would refuse.
// A record of the whole job is divided: its pieces are written first, and then what
// is left of it fits. Where it may not be divided yet, what was not sent is taken
// back, and the rest is written when enough of it has ended.
func (c *Leader) onRecordTooLarge(job *jobState, number int, now time.Time) {
	c.cycle.needed = true
	head := job.segment(number)
	if c.formats.cluster >= records.FormatSegmented && number == 0 && job.splitSegments(head.holdsStarts, now) {
		return
	}
	c.Log.Error("run record beyond the limits", "job", job.id, "piece", number, "running", len(job.placements))
	var unsent []*cluster.Placement
	for _, placement := range job.placements {
		if !placement.Recorded && job.owns(number, placement.Task) {
			unsent = append(unsent, placement)
		}
	}
	for _, placement := range unsent {
		c.withdrawPlacement(placement, now)
	}
	head.holdsStarts, head.dirtySince = false, now
	job.backOff(now.Add(tuning.MachineBackoff))
}

// runCommit carries a commit through to a certain outcome.
func (c *Leader) runCommit(batch *commitBatch) {
	reply, err := c.Store.CommitUntilKnown(c.ctx, batch.transaction, records.KeyTerm)
	c.post(commitResult{batch, reply.Revision, reply.FailedKeys, err})
}

func (c *Leader) onCommit(m commitResult, now time.Time) {
	c.writer.inFlight = nil
	c.cycle.needed = true
	if m.err != nil {
		c.onCommitFailed(m, now)
		return
	}
	c.writer.failingSince = time.Time{}
	for _, w := range m.batch.segments {
		c.onRunWritten(w, m.revision)
	}
	for _, cl := range m.batch.closed {
		c.onClosed(cl, now)
	}
	for _, request := range m.batch.provisioned {
		request.recorded = true
	}
	for _, request := range m.batch.obsolete {
		delete(c.provisioner.requests, request.ProvisioningRequest.ID)
	}
	c.writer.orphans = slices.DeleteFunc(c.writer.orphans, func(l orphanedSegment) bool { return slices.Contains(m.batch.orphans, l) })
	c.dispatchAll(now)
}

// onRunWritten releases what waited for a piece of a run record: starts may be
// sent, and workers may forget what is done.
func (c *Leader) onRunWritten(w segmentWrite, revision protocol.Revision) {
	w.job.segment(w.number).version = revision.Version()
	for _, task := range w.done {
		delete(w.job.unrecordedDone, task)
	}
	for _, placement := range w.placed {
		if w.job.placements[placement.Task] == placement && !placement.Recorded {
			placement.Recorded = true
			placement.Machine.Outbox = append(placement.Machine.Outbox, placement)
			c.dispatcher.pending[placement.Machine] = true
		}
	}
}

// onClosed draws the conclusions from a final record that was written.
func (c *Leader) onClosed(cl jobClosing, now time.Time) {
	job := cl.job
	c.Log.Debug("job over", "job", job.id, "phase", cl.final.Phase)
	for number, p := range job.segments {
		if p.version > 0 && !p.removed {
			c.writer.orphans = append(c.writer.orphans, orphanedSegment{records.SegmentKey(job.id, number), p.version})
		}
	}
	delete(c.jobs.open, job.id)
	c.jobs.closed[job.id] = now
	c.dropDependent(job)
	c.resolveDependency(job.id, dependencyOutcome{cl.final.Phase, time.UnixMilli(cl.final.ClosedMS)}, now)
}

func (c *Leader) onCommitFailed(m commitResult, now time.Time) {
	for _, w := range m.batch.segments {
		segment := w.job.segment(w.number)
		segment.dirty, segment.holdsStarts = true, segment.holdsStarts || len(w.placed) > 0
	}
	for _, cl := range m.batch.closed {
		for number := range cl.job.segments {
			cl.job.segments[number].removed = false
		}
	}
	conflict := errors.Is(m.err, kvstore.ErrConflict)
	switch {
	case errors.Is(m.err, kvstore.ErrInDoubt):
		// What was written is not known, and may still be written. The next
		// term's key makes that impossible, and its leader reads what there is.
		c.Log.Error("leaving the term to know the outcome of a transaction", "err", m.err)
		c.OnNewerTerm(c.leadership.Term + 1)
		return
	case conflict && slices.Contains(m.failedKeys, records.KeyTerm):
		c.Log.Info("the term was taken by another node")
		c.OnNewerTerm(c.leadership.Term + 1)
		return
	case conflict:
		c.Log.Debug("commit refused", "failed", m.failedKeys)
	case errors.Is(m.err, kvstore.ErrUnavailable):
		c.writer.nextCommit = now.Add(tuning.ElectionRetry)
		return
	default:
		// The limits have become smaller; the next commit keeps to them.
		c.Log.Error("commit failed", "err", m.err)
	}
	if c.writer.failingSince.IsZero() {
		c.writer.failingSince = now
	}
	if now.Sub(c.writer.failingSince) > tuning.CommitFailureLimit {
		// The records are not what we take them for, and nothing would
		// be written ever again: a new term reads them anew.
		c.Log.Error("records have changed behind this leader", "keys", m.failedKeys, "err", m.err)
		c.OnNewerTerm(c.leadership.Term + 1)
		return
	}
	c.withdrawStarts(m, now)
	c.writer.nextCommit = now.Add(tuning.CycleInterval)
}

// withdrawStarts drops the new starts of jobs whose open record has changed: the
// job was cancelled meanwhile, and the event is on the way. The rest is written
// next time.
func (c *Leader) withdrawStarts(m commitResult, now time.Time) {
	for _, w := range m.batch.segments {
		if !slices.Contains(m.failedKeys, records.OpenKey(w.job.id)) {
			continue
		}
		for _, placement := range w.placed {
			if w.job.placements[placement.Task] == placement {
				c.withdrawPlacement(placement, now)
			}
		}
	}
}
