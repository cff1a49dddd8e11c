package records

import "marblehaven/internal/tuning"

// SegmentOf is the number of the run record's piece that a task belongs to. The first
// piece, number 0, also holds the tasks of every piece that was not written yet: a
// record that holds the whole job is a first piece without others.
func SegmentOf(task int) int { return task / tuning.SegmentTasks }

// SegmentCount is how many pieces the run record of a job with so many tasks has.
func SegmentCount(tasks int) int { return (tasks + tuning.SegmentTasks - 1) / tuning.SegmentTasks }

// JoinSegments joins the pieces of a job's run record. Where the first piece still names
// tasks of a piece that was written since, the latter alone counts for them.
func JoinSegments(pieces map[int]RunRecord) RunRecord {
	var whole RunRecord
	for number, piece := range pieces {
		whole.NextAttempt = max(whole.NextAttempt, piece.NextAttempt)
		counts := func(task int) bool {
			own := SegmentOf(task)
			if number != 0 {
				return own == number
			}
			_, written := pieces[own]
			return own == 0 || !written
		}
		for _, placement := range piece.Placements {
			if counts(placement.Task) {
				whole.Placements = append(whole.Placements, placement)
			}
		}
		for _, r := range piece.Done.Within(0, tuning.MaxTasks-1) {
			for task := r[0]; task <= r[1]; task++ {
				if counts(task) {
					whole.Done.Add(task)
				}
			}
		}
	}
	return whole
}
