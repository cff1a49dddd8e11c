package leader

import (
	"slices"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// runSegment is the leader's state of one segment of a job's run record.
type runSegment struct {
	version    protocol.Version // 0: not written yet
	dirty      bool             // the stored segment is out of date
	dirtySince time.Time
	startsWait bool // starts wait for the segment to be written
	removed    bool // the commit in flight closes the job and removes the segment
}

// markDirty records that the stored segment is out of date.
func (s *runSegment) markDirty(startsWait bool, now time.Time) {
	if !s.dirty {
		s.dirty, s.dirtySince = true, now
	}
	s.startsWait = s.startsWait || startsWait
}

// segment returns the segment of the run record with a number, and adds it if there is
// none.
func (j *jobState) segment(number int) *runSegment {
	for len(j.segments) <= number {
		j.segments = append(j.segments, runSegment{})
	}
	return &j.segments[number]
}

func (j *jobState) isSegmentWritten(number int) bool {
	return number < len(j.segments) && j.segments[number].version > 0
}

// segmentHolds reports whether the segment with the number keeps the state of a task.
// Segment 0 also keeps the tasks of segments that were not written yet (see
// records.JoinSegments).
func (j *jobState) segmentHolds(number, task int) bool {
	own := records.SegmentOf(task)
	if number != 0 {
		return own == number
	}
	return own == 0 || !j.isSegmentWritten(own)
}

// segmentRecord returns the record of a segment for the present state of the job.
func (j *jobState) segmentRecord(number int) records.RunRecord {
	record := records.RunRecord{NextAttempt: j.nextAttempt, Done: j.doneInSegment(number), Placements: []records.Placement{}}
	for task, placement := range j.placements {
		if !j.segmentHolds(number, task) {
			continue
		}
		stored := records.Placement{Task: task, Attempt: placement.Attempt, Machine: placement.Machine.ID, Incarnation: placement.Incarnation}
		if j.spec.Spread || j.spec.OneZone {
			stored.Zone = placement.Machine.Zone
		}
		record.Placements = append(record.Placements, stored)
	}
	slices.SortFunc(record.Placements, func(a, b records.Placement) int { return a.Task - b.Task })
	return record
}

// doneInSegment returns the done tasks that a segment keeps.
func (j *jobState) doneInSegment(number int) records.TaskRanges {
	if number != 0 {
		first := number * tuning.SegmentTasks
		return j.doneTasks.Within(first, first+tuning.SegmentTasks-1)
	}
	done := records.TaskRanges{}
	for _, taskRange := range j.doneTasks {
		for first := taskRange[0]; first <= taskRange[1]; {
			endOfSegment := (records.SegmentOf(first)+1)*tuning.SegmentTasks - 1
			last := min(taskRange[1], endOfSegment)
			if j.segmentHolds(0, first) {
				done.Append(first, last)
			}
			first = last + 1
		}
	}
	return done
}

// splitSegments marks as dirty every segment that was not written yet and has placements
// or done tasks. Until such a segment is written, segment 0 keeps its tasks.
// splitSegments reports whether there was such a segment.
func (j *jobState) splitSegments(startsWait bool, now time.Time) bool {
	inUse := map[int]bool{}
	for task := range j.placements {
		inUse[records.SegmentOf(task)] = true
	}
	for _, taskRange := range j.doneTasks {
		for number := records.SegmentOf(taskRange[0]); number <= records.SegmentOf(taskRange[1]); number++ {
			inUse[number] = true
		}
	}
	split := false
	for number := range inUse {
		if number > 0 && !j.isSegmentWritten(number) {
			j.segment(number).markDirty(startsWait, now)
			split = true
		}
	}
	return split
}

// markDirty records that the stored state of a task is out of date. Segment 0 keeps the
// whole job until all controllers support segments, and also where the whole run record
// is certain to fit in one value, since each changed segment takes a write.
func (l *Leader) markDirty(job *jobState, task int, startsWait bool, now time.Time) {
	number := records.SegmentOf(task)
	fitsInOneValue := job.spec.Tasks*tuning.RecordEntryBytes <= l.Store.MaxValueBytes()
	undivided := !l.formats.segmented() || fitsInOneValue
	if undivided && !job.isSegmentWritten(number) {
		number = 0
	}
	job.segment(number).markDirty(startsWait, now)
}
