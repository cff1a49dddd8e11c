package records

import "slices"

// TaskRanges is a set of task numbers as sorted, disjoint, closed ranges, so that a
// job of 100,000 finished tasks takes a few bytes.
type TaskRanges [][2]int

// find returns the index of the range that holds n, or else the index of the first range
// behind n.
func (r TaskRanges) find(n int) (int, bool) {
	return slices.BinarySearchFunc(r, n, func(e [2]int, n int) int {
		switch {
		case e[1] < n:
			return -1
		case e[0] > n:
			return 1
		}
		return 0
	})
}

// Has reports whether n is in the set.
func (r TaskRanges) Has(n int) bool { _, ok := r.find(n); return ok }

// Add puts n into the set, and joins ranges that touch.
func (r *TaskRanges) Add(n int) {
	i, ok := r.find(n)
	if ok {
		return
	}
	s := *r
	left := i > 0 && s[i-1][1] == n-1
	right := i < len(s) && s[i][0] == n+1
	switch {
	case left && right:
		s[i-1][1] = s[i][1]
		s = slices.Delete(s, i, i+1)
	case left:
		s[i-1][1] = n
	case right:
		s[i][0] = n
	default:
		s = slices.Insert(s, i, [2]int{n, n})
	}
	*r = s
}

// Count returns the size of the set.
func (r TaskRanges) Count() int {
	n := 0
	for _, e := range r {
		n += e[1] - e[0] + 1
	}
	return n
}

// Append adds the range from first to last, which must lie behind all members of the set.
func (r *TaskRanges) Append(first, last int) {
	if n := len(*r); n > 0 && (*r)[n-1][1] == first-1 {
		(*r)[n-1][1] = last
		return
	}
	*r = append(*r, [2]int{first, last})
}

// Within returns the members of the set from first to last, both included.
func (r TaskRanges) Within(first, last int) TaskRanges {
	out := TaskRanges{}
	for _, e := range r {
		low, high := max(e[0], first), min(e[1], last)
		if low <= high {
			out = append(out, [2]int{low, high})
		}
	}
	return out
}
