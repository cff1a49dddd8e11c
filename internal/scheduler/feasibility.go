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
func orderByFeasibility(snapshot *Snapshot, group []int, load float64, fixedOrder bool, loadOf func(*Job) float64) float64 {
	feasible := make(loadHeap, 0, len(group))
	isPostponed := make([]bool, len(group))
	var postponed []int
	for k, jobIndex := range group {
		job := &snapshot.Jobs[jobIndex]
		jobLoad := loadOf(job)
		load += jobLoad
		if fixedOrder {
			continue
		}
		heap.Push(&feasible, heapEntry{k, jobLoad, jobLoad / math.Max(job.Weight, 1)})
		if load+job.EstimateS <= job.DeadlineS {
			continue
		}
		largest := heap.Pop(&feasible).(heapEntry)
		load -= largest.load
		isPostponed[largest.index] = true
		postponed = append(postponed, largest.index)
	}
	if len(postponed) == 0 {
		return load
	}
	loadPerWeight := func(k int) float64 { job := &snapshot.Jobs[group[k]]; return loadOf(job) / math.Max(job.Weight, 1) }
	slices.SortFunc(postponed, func(a, b int) int { return cmp.Or(cmp.Compare(loadPerWeight(a), loadPerWeight(b)), cmp.Compare(a, b)) })
	out := make([]int, 0, len(group))
	for k, jobIndex := range group {
		if !isPostponed[k] {
			out = append(out, jobIndex)
		}
	}
	for _, k := range postponed {
		out = append(out, group[k])
		load += loadOf(&snapshot.Jobs[group[k]])
	}
	copy(group, out)
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
