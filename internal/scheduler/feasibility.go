package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// orderByFeasibility reorders a class of jobs, sorted by deadline, by the weighted
// Moore-Hodgson rule, which aims at the largest total weight of the jobs that meet their
// deadlines. Jobs that can be in time keep their order; the others follow, the smallest
// load per weight first.
//
// jobIndices lists the jobs of the class. load is the time that the machines need for all
// earlier classes, and loadOf returns the time that they need for one job. The result is
// the load including this class.
func orderByFeasibility(jobs []Job, jobIndices []int, load float64, loadOf func(*Job) float64) float64 {
	feasibleLoad, postponed := postponeLargest(jobs, jobIndices, load, loadOf)
	if len(postponed) == 0 {
		return feasibleLoad
	}
	slices.SortFunc(postponed, func(a, b postponedJob) int {
		return cmp.Or(cmp.Compare(a.loadPerWeight, b.loadPerWeight), cmp.Compare(a.position, b.position))
	})
	isPostponed := make([]bool, len(jobIndices))
	for _, late := range postponed {
		isPostponed[late.position] = true
	}
	reordered := make([]int, 0, len(jobIndices))
	for position, jobIndex := range jobIndices {
		if !isPostponed[position] {
			reordered = append(reordered, jobIndex)
		}
	}
	for _, late := range postponed {
		reordered = append(reordered, jobIndices[late.position])
		feasibleLoad += late.load
	}
	copy(jobIndices, reordered)
	return feasibleLoad
}

// postponeLargest adds the jobs of the class one by one. Whenever a job would be late,
// postponeLargest postpones the job with the largest load per weight among those added so
// far. It returns the load without the postponed jobs, and the postponed jobs.
func postponeLargest(jobs []Job, jobIndices []int, load float64, loadOf func(*Job) float64) (float64, []postponedJob) {
	feasible := make(loadHeap, 0, len(jobIndices))
	var postponed []postponedJob
	for position, jobIndex := range jobIndices {
		job := &jobs[jobIndex]
		jobLoad := loadOf(job)
		load += jobLoad
		heap.Push(&feasible, postponedJob{position, jobLoad, jobLoad / math.Max(job.Weight, 1)})
		if load+job.EstimateS <= job.DeadlineS {
			continue
		}
		largest := heap.Pop(&feasible).(postponedJob)
		load -= largest.load
		postponed = append(postponed, largest)
	}
	return load, postponed
}

// addLoads returns the load including a class whose order does not change.
func addLoads(jobs []Job, jobIndices []int, load float64, loadOf func(*Job) float64) float64 {
	for _, jobIndex := range jobIndices {
		load += loadOf(&jobs[jobIndex])
	}
	return load
}

// postponedJob is a job that postponeLargest has postponed or, in a loadHeap, one that it
// can still postpone. position is the job's position in the class.
type postponedJob struct {
	position            int
	load, loadPerWeight float64
}

// loadHeap is a heap of jobs with the largest load per weight on top; among equal loads,
// the last job of the class is on top.
type loadHeap []postponedJob

// Len returns the number of jobs in the heap.
func (h loadHeap) Len() int { return len(h) }

// Less reports whether job a has a larger load per weight than job b, or an equal one and
// a later position.
func (h loadHeap) Less(a, b int) bool {
	return h[a].loadPerWeight > h[b].loadPerWeight || (h[a].loadPerWeight == h[b].loadPerWeight && h[a].position > h[b].position)
}

// Swap exchanges two jobs.
func (h loadHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *loadHeap) Push(x any) { *h = append(*h, x.(postponedJob)) }

// Pop implements heap.Interface.
func (h *loadHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}
