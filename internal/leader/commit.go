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
	txn       protocol.Transaction
	runs      []runWrite
	closed    []closing
	claims    []*claim   // written
	drops     []*claim   // deleted
	leftovers []leftover // deleted
	opsMost   int        // changes that the transaction may have
	bytes     int
}

// runWrite is a piece of a job's run record in a batch.
type runWrite struct {
	job    *job
	number int
	placed []*cluster.Placement
	done   []int
}

// closing is a job that a batch moves to its final record, and what that says.
type closing struct {
	job   *job
	final records.FinalRecord
}

// leftover is a piece of a finished job's run record.
type leftover struct {
	key     string
	version uint64
}

// room tells whether some more changes of so many bytes as JSON fit.
func (b *batch) room(changes, bytes int) bool {
	return len(b.txn.Mutations)+changes <= b.opsMost && b.bytes+bytes <= tuning.CommitBytes
}

func (b *batch) guard(key string, version uint64) {
	b.txn.Preconditions = append(b.txn.Preconditions, protocol.Precondition{Key: key, Version: version})
}

func (b *batch) put(key string, value any, bytes int) {
	b.txn.Mutations = append(b.txn.Mutations, protocol.Mutation{Set: key, Value: value})
	b.bytes += bytes
}

func (b *batch) remove(key string) {
	b.txn.Mutations = append(b.txn.Mutations, protocol.Mutation{Delete: key})
	b.bytes += smallRecordBytes
}

// smallRecordBytes is more than a record of fixed form takes in a transaction, in
// bytes as JSON.
const smallRecordBytes = 400

// commit writes what is due, as far as the limits of a commit and the write
// budget go. One commit is under way at a time, so records never overtake one
// another; each is guarded by its own version, so a late copy of an earlier
// commit cannot undo a newer one.
func (c *Controller) commit(now time.Time) {
	if c.inCommit != nil || now.Before(c.commitAfter) {
		return
	}
	budget := int(c.writes.TokensAt(now))
	due := c.dueWrites(now)
	if c.awaitsBudget(due, budget) {
		return
	}
	b := &batch{opsMost: min(c.Store.MaxMutations(), budget)}
	b.guard(records.KeyTerm, c.term.TermVersion)
	c.addClaims(b)
	c.addJobs(b, due, budget, now)
	c.addDrops(b)
	c.addLeftovers(b)
	changes := len(b.txn.Mutations)
	if changes == 0 {
		return
	}
	c.writes.AllowN(now, min(changes, c.writes.Burst()))
	c.inCommit = b
	go c.runCommit(b)
}

func (c *Controller) addClaims(b *batch) {
	for _, cl := range c.claims {
		if !cl.recorded && b.room(1, smallRecordBytes) {
			b.put(records.ProvisioningKey(cl.ProvisioningRequest.ID), cl.ProvisioningRequest, smallRecordBytes)
			b.claims = append(b.claims, cl)
		}
	}
}

func (c *Controller) addDrops(b *batch) {
	for _, cl := range c.claims {
		if cl.recorded && cl.drop && b.room(1, smallRecordBytes) {
			b.remove(records.ProvisioningKey(cl.ProvisioningRequest.ID))
			b.drops = append(b.drops, cl)
		}
	}
}

// addLeftovers removes pieces of jobs that were closed in an earlier commit.
func (c *Controller) addLeftovers(b *batch) {
	for _, l := range c.leftovers {
		if !b.room(1, smallRecordBytes) {
			return
		}
		b.guard(l.key, l.version)
		b.remove(l.key)
		b.leftovers = append(b.leftovers, l)
	}
}

// close moves a job from its open to its final record. Pieces of its run record
// that do not fit in the transaction are removed later: without an open record
// nothing counts them. That there is no final record yet is a condition as well, by
// which a conflict tells whether the transaction was executed (statestore.Apply).
func (b *batch) close(j *job, now time.Time) {
	if !b.room(openAndFinal+1, openAndFinal*smallRecordBytes) {
		return
	}
	final := records.FinalRecord{Phase: protocol.PhaseDone, TasksDone: j.nDone, ClosedMS: now.UnixMilli()}
	if j.cancelled {
		final.Phase = protocol.PhaseCancelled
	}
	b.guard(records.OpenKey(j.ref), j.openVersion)
	b.remove(records.OpenKey(j.ref))
	b.guard(records.FinalKey(j.ref), 0)
	b.put(records.FinalKey(j.ref), final, smallRecordBytes)
	for number := range j.pieces {
		p := &j.pieces[number]
		if p.version == 0 || !b.room(1, smallRecordBytes) {
			continue
		}
		key := records.SegmentKey(j.ref, number)
		b.guard(key, p.version)
		b.remove(key)
		p.removed = true
	}
	b.closed = append(b.closed, closing{j, final})
}

// addPiece writes a piece of a job's run record.
func (c *Controller) addPiece(b *batch, j *job, number int, now time.Time) {
	record, size, err := protocol.EncodeSized(j.record(number))
	if err != nil {
		c.Log.Error("encoding a run record", "job", j.ref, "err", err)
		return
	}
	if size > c.Store.MaxValueBytes() {
		c.onRecordTooLarge(j, number, now)
		return
	}
	if !b.room(1, size) {
		return
	}
	w := runWrite{job: j, number: number}
	for _, p := range j.live {
		if !p.Recorded && j.owns(number, p.Task) {
			w.placed = append(w.placed, p)
		}
	}
	for task := range j.pendingDone {
		if j.owns(number, task) {
			w.done = append(w.done, task)
		}
	}
	p := j.piece(number)
	key := records.SegmentKey(j.ref, number)
	b.guard(records.OpenKey(j.ref), j.openVersion)
	b.guard(key, p.version)
	b.put(key, record, size)
	b.runs = append(b.runs, w)
	p.dirty, p.urgent = false, false
}

// onRecordTooLarge finds a way on for a record that the state service would refuse.
// A record of the whole job is divided: its pieces are written first, and then what
// is left of it fits. Where it may not be divided yet, what was not sent is taken
// back, and the rest is written when enough of it has ended.
func (c *Controller) onRecordTooLarge(j *job, number int, now time.Time) {
	c.changed = true
	head := j.piece(number)
	if c.format >= records.FormatSegmented && number == 0 && j.divide(head.urgent, now) {
		return
	}
	c.Log.Error("run record beyond the limits", "job", j.ref, "piece", number, "running", len(j.live))
	var unsent []*cluster.Placement
	for _, p := range j.live {
		if !p.Recorded && j.owns(number, p.Task) {
			unsent = append(unsent, p)
		}
	}
	for _, p := range unsent {
		c.unplace(p, now)
	}
	head.urgent, head.dirtyAt = false, now
	j.rest(now.Add(tuning.MachineBackoff))
}

// runCommit carries a commit through to a certain outcome.
func (c *Controller) runCommit(b *batch) {
	reply, err := c.Store.CommitUntilKnown(c.ctx, b.txn, records.KeyTerm)
	c.send(commitMsg{b, reply.Revision, reply.FailedKeys, err})
}

func (c *Controller) onCommit(m commitMsg, now time.Time) {
	c.inCommit = nil
	c.changed = true
	if m.err != nil {
		c.onCommitFailed(m, now)
		return
	}
	c.failingSince = time.Time{}
	for _, w := range m.b.runs {
		c.onRunWritten(w, m.revision)
	}
	for _, cl := range m.b.closed {
		c.onClosed(cl, now)
	}
	for _, cl := range m.b.claims {
		cl.recorded = true
	}
	for _, cl := range m.b.drops {
		delete(c.claims, cl.ProvisioningRequest.ID)
	}
	c.leftovers = slices.DeleteFunc(c.leftovers, func(l leftover) bool { return slices.Contains(m.b.leftovers, l) })
	c.dispatchAll(now)
}

// onRunWritten releases what waited for a piece of a run record: starts may be
// sent, and workers may forget what is done.
func (c *Controller) onRunWritten(w runWrite, revision uint64) {
	w.job.piece(w.number).version = revision
	for _, task := range w.done {
		delete(w.job.pendingDone, task)
	}
	for _, p := range w.placed {
		if w.job.live[p.Task] == p && !p.Recorded {
			p.Recorded = true
			p.Machine.Outbox = append(p.Machine.Outbox, p)
			c.touched[p.Machine] = true
		}
	}
}

// onClosed draws the conclusions from a final record that was written.
func (c *Controller) onClosed(cl closing, now time.Time) {
	j := cl.job
	c.Log.Debug("job over", "job", j.ref, "phase", cl.final.Phase)
	for number, p := range j.pieces {
		if p.version > 0 && !p.removed {
			c.leftovers = append(c.leftovers, leftover{records.SegmentKey(j.ref, number), p.version})
		}
	}
	delete(c.jobs, j.ref)
	c.closed[j.ref] = now
	c.dropDependent(j)
	c.settle(j.ref, outcome{cl.final.Phase, time.UnixMilli(cl.final.ClosedMS)}, now)
}

func (c *Controller) onCommitFailed(m commitMsg, now time.Time) {
	for _, w := range m.b.runs {
		p := w.job.piece(w.number)
		p.dirty, p.urgent = true, p.urgent || len(w.placed) > 0
	}
	for _, cl := range m.b.closed {
		for number := range cl.job.pieces {
			cl.job.pieces[number].removed = false
		}
	}
	conflict := errors.Is(m.err, kvstore.ErrConflict)
	switch {
	case errors.Is(m.err, kvstore.ErrInDoubt):
		// What was written is not known, and may still be written. The next
		// term's key makes that impossible, and its leader reads what there is.
		c.Log.Error("leaving the term to know the outcome of a transaction", "err", m.err)
		c.OnTerm(c.term.Term + 1)
		return
	case conflict && slices.Contains(m.failed, records.KeyTerm):
		c.Log.Info("the term was taken by another node")
		c.OnTerm(c.term.Term + 1)
		return
	case conflict:
		c.Log.Debug("commit refused", "failed", m.failed)
	case errors.Is(m.err, kvstore.ErrUnavailable):
		c.commitAfter = now.Add(tuning.ElectionRetry)
		return
	default:
		// The limits have become smaller; the next commit keeps to them.
		c.Log.Error("commit failed", "err", m.err)
	}
	if c.failingSince.IsZero() {
		c.failingSince = now
	}
	if now.Sub(c.failingSince) > tuning.CommitFailureLimit {
		// The records are not what we take them for, and nothing would
		// be written ever again: a new term reads them anew.
		c.Log.Error("records have changed behind this leader", "keys", m.failed, "err", m.err)
		c.OnTerm(c.term.Term + 1)
		return
	}
	c.takeBackStarts(m, now)
	c.commitAfter = now.Add(tuning.CycleInterval)
}

// takeBackStarts drops the new starts of jobs whose open record has changed: the
// job was cancelled meanwhile, and the event is on the way. The rest is written
// next time.
func (c *Controller) takeBackStarts(m commitMsg, now time.Time) {
	for _, w := range m.b.runs {
		if !slices.Contains(m.failed, records.OpenKey(w.job.ref)) {
			continue
		}
		for _, p := range w.placed {
			if w.job.live[p.Task] == p {
				c.unplace(p, now)
			}
		}
	}
}
