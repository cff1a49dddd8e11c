package leader

import (
	"cmp"
	"slices"
	"time"

	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// dueWrite is a job to be closed, or a piece of its run record to be written.
type dueWrite struct {
	job    *job
	number int // ledger.NoPiece: the job is to be closed
	order  int
	since  time.Time
}

// dueWrites lists what is to be written of jobs. Starts wait for their records, so
// they go first; then what users wait to be told; completions of parts of a job can
// wait, and a worker keeps them.
func (c *Controller) dueWrites(now time.Time) []dueWrite {
	var due []dueWrite
	for _, j := range c.jobs {
		if j.recordBehind {
			continue
		}
		if j.over() {
			due = append(due, dueWrite{j, records.NoSegment, writeClose, j.seenAt})
			continue
		}
		for number := range j.pieces {
			p := &j.pieces[number]
			if p.dirty && (p.urgent || now.Sub(p.dirtyAt) >= tuning.CompletionDelay) {
				due = append(due, dueWrite{j, number, j.writeOrder(p), p.dirtyAt})
			}
		}
	}
	slices.SortFunc(due, func(x, y dueWrite) int {
		return cmp.Or(cmp.Compare(x.order, y.order), x.since.Compare(y.since),
			cmp.Compare(x.job.ref, y.job.ref), cmp.Compare(x.number, y.number))
	})
	return due
}

// awaitsBudget tells whether to wait until the write budget allows a whole transaction
// of what is due. Written one by one as the budget is refilled, single changes would keep
// out for ever what takes several, such as closing a job; and what is placed meanwhile
// shares the write of its job. Production's starts don't wait.
func (c *Controller) awaitsBudget(due []dueWrite, budget int) bool {
	changes := 0
	for _, cl := range c.claims {
		if !cl.recorded {
			changes++
		}
	}
	for _, d := range due {
		switch d.order {
		case writeProduction:
			return false
		case writeLater:
		default:
			changes += d.changes()
		}
	}
	return budget < min(changes, c.Store.MaxMutations())
}

// openAndFinal is how many changes move a job from its open to its final record.
const openAndFinal = 2

// changes is how many changes of a transaction the write takes.
func (d dueWrite) changes() int {
	if d.number != records.NoSegment {
		return 1
	}
	changes := openAndFinal
	for _, p := range d.job.pieces {
		if p.version > 0 {
			changes++
		}
	}
	return changes
}

// addJobs adds what is due of jobs, as far as it fits.
func (c *Controller) addJobs(b *batch, due []dueWrite, budget int, now time.Time) {
	for _, d := range due {
		if d.order == writeLater {
			// A part of the budget is left for starts that come next.
			b.opsMost = min(b.opsMost, budget-c.writes.Burst()/2)
		}
		if !b.room(1, 0) {
			return
		}
		if d.number == records.NoSegment {
			b.close(d.job, now)
		} else {
			c.addPiece(b, d.job, d.number, now)
		}
	}
}
