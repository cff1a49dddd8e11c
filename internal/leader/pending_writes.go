package leader

import (
	"cmp"
	"slices"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// writeOrder is the rank of a pending write. Writes of lower rank are written first.
type writeOrder int

// Starts of production jobs come first, then the closing of jobs, then other starts by
// their priority, and last the segments that hold only completions.
const (
	writeProductionStarts writeOrder = 0
	writeClosing          writeOrder = 1
	writeCompletions      writeOrder = 10
)

// pendingWrite is a job to be closed, or a segment of its run record to be written.
type pendingWrite struct {
	job    *jobState
	number int // of the segment; records.NoSegment: the job is to be closed
	order  writeOrder
	since  time.Time
}

// closeMutations is how many mutations move a job from its open to its final record.
const closeMutations = 2

// mutations returns how many mutations of a transaction the write takes.
func (w pendingWrite) mutations() int {
	if w.number != records.NoSegment {
		return 1
	}
	mutations := closeMutations
	for _, segment := range w.job.segments {
		if segment.version > 0 {
			mutations++
		}
	}
	return mutations
}

func (j *jobState) writeOrder(segment *runSegment) writeOrder {
	switch {
	case !segment.startsWait:
		return writeCompletions
	case j.isProduction():
		return writeProductionStarts
	}
	return writeClosing + writeOrder(j.priority())
}

// pendingWrites lists the pending writes of all jobs in the order of their ranks. Starts
// are not sent before they are recorded, and users wait for the final status of a job, so
// both are due at once. Segments that hold only completions are due after
// tuning.CompletionDelay, since agents keep the completed attempts until then.
func (l *Leader) pendingWrites(now time.Time) []pendingWrite {
	var pending []pendingWrite
	for _, job := range l.jobs.open {
		if job.awaitsOpenRecord {
			continue
		}
		if job.isOver() {
			pending = append(pending, pendingWrite{job, records.NoSegment, writeClosing, job.addedAt})
			continue
		}
		for number := range job.segments {
			segment := &job.segments[number]
			if segment.dirty && (segment.startsWait || now.Sub(segment.dirtySince) >= tuning.CompletionDelay) {
				pending = append(pending, pendingWrite{job, number, job.writeOrder(segment), segment.dirtySince})
			}
		}
	}
	slices.SortFunc(pending, func(a, b pendingWrite) int {
		return cmp.Or(cmp.Compare(a.order, b.order), a.since.Compare(b.since),
			cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.number, b.number))
	})
	return pending
}

// awaitsBudget reports whether to wait until the write budget allows a whole transaction
// of the pending writes. If single mutations were written as soon as the budget allows
// one, the budget would never suffice for a write that takes several, such as closing a
// job. In addition, tasks that are placed during the wait share a write with the other
// tasks of their segment. Starts of production jobs do not wait.
func (l *Leader) awaitsBudget(pending []pendingWrite, budget int) bool {
	mutations := l.provisioner.countUnrecorded()
	for _, write := range pending {
		switch write.order {
		case writeProductionStarts:
			return false
		case writeCompletions:
		default:
			mutations += write.mutations()
		}
	}
	return budget < min(mutations, l.Store.MaxMutations())
}

// addPendingWrites adds the pending writes to a commit, as far as they fit.
func (l *Leader) addPendingWrites(batch *commitBatch, pending []pendingWrite, budget int, now time.Time) {
	for _, write := range pending {
		if write.order == writeCompletions {
			// Half of a full budget is left for the starts that come next.
			batch.maxMutations = min(batch.maxMutations, budget-l.writer.limiter.Burst()/2)
		}
		if !batch.fits(1, 0) {
			return
		}
		if write.number == records.NoSegment {
			batch.closeJob(write.job, now)
		} else {
			l.addSegment(batch, write.job, write.number, now)
		}
	}
}

// closingPhase returns the final phase of a job that is over.
func (j *jobState) closingPhase() protocol.JobPhase {
	if j.cancelled {
		return protocol.PhaseCancelled
	}
	return protocol.PhaseDone
}
