package leader

import (
	"errors"
	"slices"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// batch is one commit under way and what it means once applied.
type batch struct {
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
	version uint64
}

// fits tells whether some more changes of so many bytes as JSON fit.
func (b *batch) fits(changes, bytes int) bool {
	return len(b.transaction.Mutations)+changes <= b.maxMutations && b.bytes+bytes <= tuning.CommitBytes
}

func (b *batch) precondition(key string, version uint64) {
	b.transaction.Preconditions = append(b.transaction.Preconditions, protocol.Precondition{Key: key, Version: version})
}

func (b *batch) put(key string, value any, bytes int) {
	b.transaction.Mutations = append(b.transaction.Mutations, protocol.Mutation{Set: key, Value: value})
	b.bytes += bytes
}

func (b *batch) remove(key string) {
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
	if c.batchInFlight != nil || now.Before(c.nextCommit) {
		return
	}
	budget := int(c.writeLimiter.TokensAt(now))
	due := c.pendingWrites(now)
	if c.awaitsBudget(due, budget) {
		return
	}
	b := &batch{maxMutations: min(c.Store.MaxMutations(), budget)}
	b.precondition(records.KeyTerm, c.leadership.TermVersion)
	c.addProvisioning(b)
	c.addJobs(b, due, budget, now)
	c.addObsoleteProvisioning(b)
	c.addOrphanedSegments(b)
	changes := len(b.transaction.Mutations)
	if changes == 0 {
		return
	}
	c.writeLimiter.AllowN(now, min(changes, c.writeLimiter.Burst()))
	c.batchInFlight = b
	go c.runCommit(b)
}

func (c *Leader) addProvisioning(b *batch) {
	for _, cl := range c.provisionRequests {
		if !cl.recorded && b.fits(1, smallRecordBytes) {
			b.put(records.ProvisioningKey(cl.ProvisioningRequest.ID), cl.ProvisioningRequest, smallRecordBytes)
			b.provisioned = append(b.provisioned, cl)
		}
	}
}

func (c *Leader) addObsoleteProvisioning(b *batch) {
	for _, cl := range c.provisionRequests {
		if cl.recorded && cl.obsolete && b.fits(1, smallRecordBytes) {
			b.remove(records.ProvisioningKey(cl.ProvisioningRequest.ID))
			b.obsolete = append(b.obsolete, cl)
		}
	}
}

// addOrphanedSegments removes pieces of jobs that were closed in an earlier commit.
func (c *Leader) addOrphanedSegments(b *batch) {
	for _, l := range c.orphanedSegments {
		if !b.fits(1, smallRecordBytes) {
			return
		}
		b.precondition(l.key, l.version)
		b.remove(l.key)
		b.orphans = append(b.orphans, l)
	}
}

// close moves a job from its open to its final record. Pieces of its run record
// that do not fit in the transaction are removed later: without an open record
// nothing counts them. That there is no final record yet is a condition as well, by
// which a conflict tells whether the transaction was executed (statestore.Apply).
func (b *batch) close(j *jobState, now time.Time) {
	if !b.fits(closeMutations+1, closeMutations*smallRecordBytes) {
		return
	}
	final := records.FinalRecord{Phase: protocol.PhaseDone, TasksDone: j.doneCount, ClosedMS: now.UnixMilli()}
	if j.cancelled {
		final.Phase = protocol.PhaseCancelled
	}
	b.precondition(records.OpenKey(j.id), j.openVersion)
	b.remove(records.OpenKey(j.id))
	b.precondition(records.FinalKey(j.id), 0)
	b.put(records.FinalKey(j.id), final, smallRecordBytes)
	for number := range j.segments {
		p := &j.segments[number]
		if p.version == 0 || !b.fits(1, smallRecordBytes) {
			continue
		}
		key := records.SegmentKey(j.id, number)
		b.precondition(key, p.version)
		b.remove(key)
		p.removed = true
	}
	b.closed = append(b.closed, jobClosing{j, final})
}

// addSegment writes a piece of a job's run record.
func (c *Leader) addSegment(b *batch, j *jobState, number int, now time.Time) {
	record, size, err := protocol.EncodeSized(j.segmentRecord(number))
	if err != nil {
		c.Log.Error("encoding a run record", "job", j.id, "err", err)
		return
	}
	if size > c.Store.MaxValueBytes() {
		c.onRecordTooLarge(j, number, now)
		return
	}
	if !b.fits(1, size) {
		return
	}
	w := segmentWrite{job: j, number: number}
	for _, p := range j.placements {
		if !p.Recorded && j.owns(number, p.Task) {
			w.placed = append(w.placed, p)
		}
	}
	for task := range j.unrecordedDone {
		if j.owns(number, task) {
			w.done = append(w.done, task)
		}
	}
	p := j.segment(number)
	key := records.SegmentKey(j.id, number)
	b.precondition(records.OpenKey(j.id), j.openVersion)
	b.precondition(key, p.version)
	b.put(key, record, size)
	b.segments = append(b.segments, w)
	p.dirty, p.holdsStarts = false, false
}

// onRecordTooLarge finds a way on for a record that the state service would refuse.
// A record of the whole job is divided: its pieces are written first, and then what
// is left of it fits. Where it may not be divided yet, what was not sent is taken
// back, and the rest is written when enough of it has ended.
func (c *Leader) onRecordTooLarge(j *jobState, number int, now time.Time) {
	c.changed = true
	head := j.segment(number)
	if c.format >= records.FormatSegmented && number == 0 && j.splitSegments(head.holdsStarts, now) {
		return
	}
	c.Log.Error("run record beyond the limits", "job", j.id, "piece", number, "running", len(j.placements))
	var unsent []*cluster.Placement
	for _, p := range j.placements {
		if !p.Recorded && j.owns(number, p.Task) {
			unsent = append(unsent, p)
		}
	}
	for _, p := range unsent {
		c.withdrawPlacement(p, now)
	}
	head.holdsStarts, head.dirtySince = false, now
	j.backOff(now.Add(tuning.MachineBackoff))
}

// runCommit carries a commit through to a certain outcome.
func (c *Leader) runCommit(b *batch) {
	reply, err := c.Store.CommitUntilKnown(c.ctx, b.transaction, records.KeyTerm)
	c.post(commitResult{b, reply.Revision, reply.FailedKeys, err})
}

func (c *Leader) onCommit(m commitResult, now time.Time) {
	c.batchInFlight = nil
	c.changed = true
	if m.err != nil {
		c.onCommitFailed(m, now)
		return
	}
	c.commitFailingSince = time.Time{}
	for _, w := range m.batch.segments {
		c.onRunWritten(w, m.revision)
	}
	for _, cl := range m.batch.closed {
		c.onClosed(cl, now)
	}
	for _, cl := range m.batch.provisioned {
		cl.recorded = true
	}
	for _, cl := range m.batch.obsolete {
		delete(c.provisionRequests, cl.ProvisioningRequest.ID)
	}
	c.orphanedSegments = slices.DeleteFunc(c.orphanedSegments, func(l orphanedSegment) bool { return slices.Contains(m.batch.orphans, l) })
	c.dispatchAll(now)
}

// onRunWritten releases what waited for a piece of a run record: starts may be
// sent, and workers may forget what is done.
func (c *Leader) onRunWritten(w segmentWrite, revision uint64) {
	w.job.segment(w.number).version = revision
	for _, task := range w.done {
		delete(w.job.unrecordedDone, task)
	}
	for _, p := range w.placed {
		if w.job.placements[p.Task] == p && !p.Recorded {
			p.Recorded = true
			p.Machine.Outbox = append(p.Machine.Outbox, p)
			c.pendingDispatch[p.Machine] = true
		}
	}
}

// onClosed draws the conclusions from a final record that was written.
func (c *Leader) onClosed(cl jobClosing, now time.Time) {
	j := cl.job
	c.Log.Debug("job over", "job", j.id, "phase", cl.final.Phase)
	for number, p := range j.segments {
		if p.version > 0 && !p.removed {
			c.orphanedSegments = append(c.orphanedSegments, orphanedSegment{records.SegmentKey(j.id, number), p.version})
		}
	}
	delete(c.jobs, j.id)
	c.closedJobs[j.id] = now
	c.dropDependent(j)
	c.resolveDependency(j.id, dependencyOutcome{cl.final.Phase, time.UnixMilli(cl.final.ClosedMS)}, now)
}

func (c *Leader) onCommitFailed(m commitResult, now time.Time) {
	for _, w := range m.batch.segments {
		p := w.job.segment(w.number)
		p.dirty, p.holdsStarts = true, p.holdsStarts || len(w.placed) > 0
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
		c.nextCommit = now.Add(tuning.ElectionRetry)
		return
	default:
		// The limits have become smaller; the next commit keeps to them.
		c.Log.Error("commit failed", "err", m.err)
	}
	if c.commitFailingSince.IsZero() {
		c.commitFailingSince = now
	}
	if now.Sub(c.commitFailingSince) > tuning.CommitFailureLimit {
		// The records are not what we take them for, and nothing would
		// be written ever again: a new term reads them anew.
		c.Log.Error("records have changed behind this leader", "keys", m.failedKeys, "err", m.err)
		c.OnNewerTerm(c.leadership.Term + 1)
		return
	}
	c.withdrawStarts(m, now)
	c.nextCommit = now.Add(tuning.CycleInterval)
}

// withdrawStarts drops the new starts of jobs whose open record has changed: the
// job was cancelled meanwhile, and the event is on the way. The rest is written
// next time.
func (c *Leader) withdrawStarts(m commitResult, now time.Time) {
	for _, w := range m.batch.segments {
		if !slices.Contains(m.failedKeys, records.OpenKey(w.job.id)) {
			continue
		}
		for _, p := range w.placed {
			if w.job.placements[p.Task] == p {
				c.withdrawPlacement(p, now)
			}
		}
	}
}
