package leader

import (
	"marblehaven/internal/protocol"
	"slices"
	"time"

	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// runSegment is what the leader knows of a piece of a job's run record.
type runSegment struct {
	version     protocol.Version // 0: not written yet
	dirty       bool             // it lags behind what must be in it
	holdsStarts bool             // it holds starts
	dirtySince  time.Time        // since when
	removed     bool             // the commit under way closes the job and removes it
}

// segment returns a piece of the run record by its number.
func (j *jobState) segment(number int) *runSegment {
	for len(j.segments) <= number {
		j.segments = append(j.segments, runSegment{})
	}
	return &j.segments[number]
}

func (j *jobState) written(number int) bool {
	return number < len(j.segments) && j.segments[number].version > 0
}

// owns tells whether a task is kept in the piece with the number. The first also
// keeps the tasks of pieces that were not written yet (see ledger.Assemble).
func (j *jobState) owns(number, task int) bool {
	own := records.SegmentOf(task)
	if number != 0 {
		return own == number
	}
	return own == 0 || !j.written(own)
}

// segmentRecord is a piece of the run record in the present state.
func (j *jobState) segmentRecord(number int) records.RunRecord {
	r := records.RunRecord{NextAttempt: j.nextAttempt, Done: j.doneInSegment(number), Placements: []records.Placement{}}
	for n, p := range j.placements {
		if !j.owns(number, n) {
			continue
		}
		placement := records.Placement{Task: n, Attempt: p.Attempt, Machine: p.Machine.ID, Incarnation: p.Incarnation}
		if j.spec.Spread || j.spec.OneZone {
			placement.Zone = p.Machine.Zone
		}
		r.Placements = append(r.Placements, placement)
	}
	slices.SortFunc(r.Placements, func(a, b records.Placement) int { return a.Task - b.Task })
	return r
}

// doneInSegment is the part of the done tasks that is kept in the piece with the number.
func (j *jobState) doneInSegment(number int) records.TaskRanges {
	if number != 0 {
		first := number * tuning.SegmentTasks
		return j.doneTasks.Within(first, first+tuning.SegmentTasks-1)
	}
	out := records.TaskRanges{}
	for _, e := range j.doneTasks {
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

// splitSegments marks the pieces that only the first one holds as yet to be written. It
// returns false if there are none.
func (j *jobState) splitSegments(urgent bool, now time.Time) bool {
	found := map[int]bool{}
	for n := range j.placements {
		found[records.SegmentOf(n)] = true
	}
	for _, e := range j.doneTasks {
		for number := records.SegmentOf(e[0]); number <= records.SegmentOf(e[1]); number++ {
			found[number] = true
		}
	}
	divided := false
	for number := range found {
		if number > 0 && !j.written(number) {
			j.segment(number).markDirty(urgent, now)
			divided = true
		}
	}
	return divided
}

// markDirty notes that the piece lags behind what must be in it.
func (p *runSegment) markDirty(urgent bool, now time.Time) {
	if !p.dirty {
		p.dirty, p.dirtySince = true, now
	}
	p.holdsStarts = p.holdsStarts || urgent
}

// markDirty notes that the record of a task lags behind. The first piece holds the
// whole job until the whole cluster reads pieces, and where the whole surely fits in
// a value: each piece that changes is a write.
func (c *Leader) markDirty(job *jobState, task int, urgent bool, now time.Time) {
	number := records.SegmentOf(task)
	undivided := c.formats.cluster < records.FormatSegmented || job.spec.Tasks*tuning.RecordEntryBytes <= c.Store.MaxValueBytes()
	if undivided && !job.written(number) {
		number = 0
	}
	job.segment(number).markDirty(urgent, now)
}
