package records

import "slices"

// TaskRanges is a set of task numbers as sorted, disjoint, closed ranges, so that a
// job of 100,000 finished tasks takes a few bytes.
type TaskRanges [][2]int

// find returns the index of the range that holds the task, or else the index of the first range
// after the task.
func (r TaskRanges) find(task int) (index int, found bool) {
	return slices.BinarySearchFunc(r, task, func(taskRange [2]int, task int) int {
		switch {
		case taskRange[1] < task:
			return -1
		case taskRange[0] > task:
			return 1
		}
		return 0
	})
}

// Has reports whether the task is in the set.
func (r TaskRanges) Has(task int) bool {
	_, found := r.find(task)
	return found
}

// Add puts the task into the set, and joins ranges that touch.
func (r *TaskRanges) Add(task int) {
	index, found := r.find(task)
	if found {
		return
	}
	ranges := *r
	touchesLeft := index > 0 && ranges[index-1][1] == task-1
	touchesRight := index < len(ranges) && ranges[index][0] == task+1
	switch {
	case touchesLeft && touchesRight:
		ranges[index-1][1] = ranges[index][1]
		ranges = slices.Delete(ranges, index, index+1)
	case touchesLeft:
		ranges[index-1][1] = task
	case touchesRight:
		ranges[index][0] = task
	default:
		ranges = slices.Insert(ranges, index, [2]int{task, task})
	}
	*r = ranges
}

// Count returns the size of the set.
func (r TaskRanges) Count() int {
	count := 0
	for _, taskRange := range r {
		count += taskRange[1] - taskRange[0] + 1
	}
	return count
}

// Append adds the range from first to last. Both must be greater than all members of the set.
func (r *TaskRanges) Append(first, last int) {
	if n := len(*r); n > 0 && (*r)[n-1][1] == first-1 {
		(*r)[n-1][1] = last
		return
	}
	*r = append(*r, [2]int{first, last})
}

// Within returns the members of the set from first to last, both included.
func (r TaskRanges) Within(first, last int) TaskRanges {
	within := TaskRanges{}
	for _, taskRange := range r {
		low, high := max(taskRange[0], first), min(taskRange[1], last)
		if low <= high {
			within = append(within, [2]int{low, high})
		}
	}
	return within
}
