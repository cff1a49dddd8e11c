package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// orderByFeasibility puts the jobs of a group that can be in time first, in the order they
// are given, then the others, the smallest for what it counts first. It returns
// the load after it. Where the order is fixed nothing is put behind.
func orderByFeasibility(snapshot *Snapshot, idx []int, load float64, fixed bool, takes func(*Job) float64) float64 {
	by := make(loadHeap, 0, len(idx))
	late := make([]bool, len(idx))
	var later []int
	for k, jobIndex := range idx {
		job := &snapshot.Jobs[jobIndex]
		t := takes(job)
		load += t
		if fixed {
			continue
		}
		heap.Push(&by, heapEntry{k, t, t / math.Max(job.Weight, 1)})
		if load+job.EstimateS <= job.DeadlineS {
			continue
		}
		big := heap.Pop(&by).(heapEntry)
		load -= big.load
		late[big.index] = true
		later = append(later, big.index)
	}
	if len(later) == 0 {
		return load
	}
	per := func(k int) float64 { job := &snapshot.Jobs[idx[k]]; return takes(job) / math.Max(job.Weight, 1) }
	slices.SortFunc(later, func(a, b int) int { return cmp.Or(cmp.Compare(per(a), per(b)), cmp.Compare(a, b)) })
	out := make([]int, 0, len(idx))
	for k, jobIndex := range idx {
		if !late[k] {
			out = append(out, jobIndex)
		}
	}
	for _, k := range later {
		out = append(out, idx[k])
		load += takes(&snapshot.Jobs[idx[k]])
	}
	copy(idx, out)
	return load
}

// heapEntry is the k-th job of a group with its load, in all and for each that
// counts; largest is a heap with the largest, and of equals the last, on top.
type heapEntry struct {
	index               int
	load, loadPerWeight float64
}

type loadHeap []heapEntry

func (l loadHeap) Len() int { return len(l) }

func (l loadHeap) Less(a, b int) bool {
	return l[a].loadPerWeight > l[b].loadPerWeight || (l[a].loadPerWeight == l[b].loadPerWeight && l[a].index > l[b].index)
}

func (l loadHeap) Swap(a, b int) { l[a], l[b] = l[b], l[a] }

func (l *loadHeap) Push(x any) { *l = append(*l, x.(heapEntry)) }

func (l *loadHeap) Pop() any {
	x := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return x
}
