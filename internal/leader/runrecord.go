package leader

import (
	"slices"
	"time"

	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// piece is what the leader knows of a piece of a job's run record.
type piece struct {
	version uint64    // 0: not written yet
	dirty   bool      // it lags behind what must be in it
	urgent  bool      // it holds starts
	dirtyAt time.Time // since when
	removed bool      // the commit under way closes the job and removes it
}

// piece returns a piece of the run record by its number.
func (j *job) piece(number int) *piece {
	for len(j.pieces) <= number {
		j.pieces = append(j.pieces, piece{})
	}
	return &j.pieces[number]
}

func (j *job) written(number int) bool {
	return number < len(j.pieces) && j.pieces[number].version > 0
}

// owns tells whether a task is kept in the piece with the number. The first also
// keeps the tasks of pieces that were not written yet (see ledger.Assemble).
func (j *job) owns(number, task int) bool {
	own := records.SegmentOf(task)
	if number != 0 {
		return own == number
	}
	return own == 0 || !j.written(own)
}

// record is a piece of the run record in the present state.
func (j *job) record(number int) records.RunRecord {
	r := records.RunRecord{NextAttempt: j.next, Done: j.doneIn(number), Placements: []records.Placement{}}
	for n, p := range j.live {
		if !j.owns(number, n) {
			continue
		}
		placement := records.Placement{Task: n, Attempt: p.Attempt, Machine: p.Machine.ID, Incarnation: p.Incarnation}
		if j.desc.Spread || j.desc.OneZone {
			placement.Zone = p.Machine.Zone
		}
		r.Placements = append(r.Placements, placement)
	}
	slices.SortFunc(r.Placements, func(a, b records.Placement) int { return a.Task - b.Task })
	return r
}

// doneIn is the part of the done tasks that is kept in the piece with the number.
func (j *job) doneIn(number int) records.TaskRanges {
	if number != 0 {
		first := number * tuning.SegmentTasks
		return j.done.Within(first, first+tuning.SegmentTasks-1)
	}
	out := records.TaskRanges{}
	for _, e := range j.done {
		for low := e[0]; low <= e[1]; {
			high := min(e[1], (records.SegmentOf(low)+1)*tuning.SegmentTasks-1)
			if j.owns(0, low) {
				out.Append(low, high)
			}
			low = high + 1
		}
	}
	return out
}

// divide marks the pieces that only the first one holds as yet to be written. It
// returns false if there are none.
func (j *job) divide(urgent bool, now time.Time) bool {
	found := map[int]bool{}
	for n := range j.live {
		found[records.SegmentOf(n)] = true
	}
	for _, e := range j.done {
		for number := records.SegmentOf(e[0]); number <= records.SegmentOf(e[1]); number++ {
			found[number] = true
		}
	}
	divided := false
	for number := range found {
		if number > 0 && !j.written(number) {
			j.piece(number).mark(urgent, now)
			divided = true
		}
	}
	return divided
}

// mark notes that the piece lags behind what must be in it.
func (p *piece) mark(urgent bool, now time.Time) {
	if !p.dirty {
		p.dirty, p.dirtyAt = true, now
	}
	p.urgent = p.urgent || urgent
}

// markDirty notes that the record of a task lags behind. The first piece holds the
// whole job until the whole cluster reads pieces, and where the whole surely fits in
// a value: each piece that changes is a write.
func (c *Controller) markDirty(j *job, task int, urgent bool, now time.Time) {
	number := records.SegmentOf(task)
	undivided := c.format < records.FormatSegmented || j.desc.Tasks*tuning.RecordEntryBytes <= c.Store.MaxValueBytes()
	if undivided && !j.written(number) {
		number = 0
	}
	j.piece(number).mark(urgent, now)
}
