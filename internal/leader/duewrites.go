package leader

import (
	"cmp"
	"slices"
	"time"

	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// pendingWrite is a job to be closed, or a piece of its run record to be written.
type pendingWrite struct {
	job    *jobState
	number int // ledger.NoPiece: the job is to be closed
	order  int
	since  time.Time
}

// pendingWrites lists what is to be written of jobs. Starts wait for their records, so
// they go first; then what users wait to be told; completions of parts of a job can
// wait, and a worker keeps them.
func (c *Leader) pendingWrites(now time.Time) []pendingWrite {
	var due []pendingWrite
	for _, job := range c.jobs.open {
		if job.awaitsOpenRecord {
			continue
		}
		if job.isOver() {
			due = append(due, pendingWrite{job, records.NoSegment, writeClosing, job.knownSince})
			continue
		}
		for number := range job.segments {
			segment := &job.segments[number]
			if segment.dirty && (segment.holdsStarts || now.Sub(segment.dirtySince) >= tuning.CompletionDelay) {
				due = append(due, pendingWrite{job, number, job.writeOrder(segment), segment.dirtySince})
			}
		}
	}
	slices.SortFunc(due, func(x, y pendingWrite) int {
		return cmp.Or(cmp.Compare(x.order, y.order), x.since.Compare(y.since),
			cmp.Compare(x.job.id, y.job.id), cmp.Compare(x.number, y.number))
	})
	return due
}

// awaitsBudget tells whether to wait until the write budget allows a whole transaction
// of what is due. Written one by one as the budget is refilled, single changes would keep
// out for ever what takes several, such as closing a job; and what is placed meanwhile
// shares the write of its job. Production's starts don't wait.
func (c *Leader) awaitsBudget(due []pendingWrite, budget int) bool {
	changes := 0
	for _, request := range c.provisioner.requests {
		if !request.recorded {
			changes++
		}
	}
	for _, d := range due {
		switch d.order {
		case writeProductionStarts:
			return false
		case writeCompletions:
		default:
			changes += d.mutations()
		}
	}
	return budget < min(changes, c.Store.MaxMutations())
}

// closeMutations is how many changes move a job from its open to its final record.
const closeMutations = 2

// mutations is how many changes of a transaction the write takes.
func (d pendingWrite) mutations() int {
	if d.number != records.NoSegment {
		return 1
	}
	changes := closeMutations
	for _, p := range d.job.segments {
		if p.version > 0 {
			changes++
		}
	}
	return changes
}

// addJobs adds what is due of jobs, as far as it fits.
func (c *Leader) addJobs(batch *commitBatch, due []pendingWrite, budget int, now time.Time) {
	for _, d := range due {
		if d.order == writeCompletions {
			// A part of the budget is left for starts that come next.
			batch.maxMutations = min(batch.maxMutations, budget-c.writer.limiter.Burst()/2)
		}
		if !batch.fits(1, 0) {
			return
		}
		if d.number == records.NoSegment {
			batch.close(d.job, now)
		} else {
			c.addSegment(batch, d.job, d.number, now)
		}
	}
}
