package records

import "marblehaven/internal/tuning"

// SegmentOf returns the number of the run record's segment that a task belongs to. Segment 0
// also holds the tasks of every segment that has not been written yet, so a run record in
// FormatWhole consists of segment 0 alone.
func SegmentOf(task int) int { return task / tuning.SegmentTasks }

// SegmentCount returns the number of segments in the run record of a job with the given number
// of tasks.
func SegmentCount(tasks int) int { return (tasks + tuning.SegmentTasks - 1) / tuning.SegmentTasks }

// JoinSegments joins the segments of a job's run record, given by their numbers. Where segment
// 0 still holds tasks of a segment that has been written since, only the later written segment
// counts for these tasks.
func JoinSegments(segments map[int]RunRecord) RunRecord {
	var whole RunRecord
	for number, segment := range segments {
		whole.NextAttempt = max(whole.NextAttempt, segment.NextAttempt)
		isAuthoritative := func(task int) bool {
			ownSegment := SegmentOf(task)
			if number != 0 {
				return ownSegment == number
			}
			_, written := segments[ownSegment]
			return ownSegment == 0 || !written
		}
		for _, placement := range segment.Placements {
			if isAuthoritative(placement.Task) {
				whole.Placements = append(whole.Placements, placement)
			}
		}
		for _, taskRange := range segment.Done.Within(0, tuning.MaxTasks-1) {
			for task := taskRange[0]; task <= taskRange[1]; task++ {
				if isAuthoritative(task) {
					whole.Done.Add(task)
				}
			}
		}
	}
	return whole
}
