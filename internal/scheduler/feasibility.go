package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// orderByFeasibility rearranges a class of jobs, which comes in the order of deadlines,
// so that as many as possible are in time (the Moore-Hodgson rule, weighted): jobs
// that can be in time stay in their order, the others follow, the least load for its
// weight first. load is the time that the machines need for all classes before, and
// loadOf the time that they need for one job; the load after the class is returned.
func orderByFeasibility(jobs []Job, class []int, load float64, loadOf func(*Job) float64) float64 {
	feasibleLoad, postponed := postponeLargest(jobs, class, load, loadOf)
	if len(postponed) == 0 {
		return feasibleLoad
	}
	slices.SortFunc(postponed, func(a, b postponedJob) int {
		return cmp.Or(cmp.Compare(a.loadPerWeight, b.loadPerWeight), cmp.Compare(a.position, b.position))
	})
	isPostponed := make([]bool, len(class))
	for _, late := range postponed {
		isPostponed[late.position] = true
	}
	reordered := make([]int, 0, len(class))
	for position, jobIndex := range class {
		if !isPostponed[position] {
			reordered = append(reordered, jobIndex)
		}
	}
	for _, late := range postponed {
		reordered = append(reordered, class[late.position])
		feasibleLoad += late.load
	}
	copy(class, reordered)
	return feasibleLoad
}

// postponeLargest goes through the class and, whenever a job would be late, postpones
// the job of those so far that has the largest load for its weight. It returns the
// load with the jobs that are left, and those that were postponed.
func postponeLargest(jobs []Job, class []int, load float64, loadOf func(*Job) float64) (float64, []postponedJob) {
	feasible := make(loadHeap, 0, len(class))
	var postponed []postponedJob
	for position, jobIndex := range class {
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

// addLoads returns the load after a class whose order stays as it is.
func addLoads(jobs []Job, class []int, load float64, loadOf func(*Job) float64) float64 {
	for _, jobIndex := range class {
		load += loadOf(&jobs[jobIndex])
	}
	return load
}

// postponedJob is a job that is or may be postponed, by its position in the class.
type postponedJob struct {
	position            int
	load, loadPerWeight float64
}

// loadHeap has the largest load for its weight on top, of equal ones the last.
type loadHeap []postponedJob

// Len is the number of jobs in the heap.
func (h loadHeap) Len() int { return len(h) }

// Less puts the largest load for its weight on top, of equals the last job.
func (h loadHeap) Less(a, b int) bool {
	return h[a].loadPerWeight > h[b].loadPerWeight || (h[a].loadPerWeight == h[b].loadPerWeight && h[a].position > h[b].position)
}

// Swap exchanges two jobs.
func (h loadHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push is for container/heap.
func (h *loadHeap) Push(x any) { *h = append(*h, x.(postponedJob)) }

// Pop is for container/heap.
func (h *loadHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}
