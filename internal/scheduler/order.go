package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// Order sorts job indices by who is served first: player-facing production
// work, then what has waited too long, then work within a guarantee, then rank.
// Among equals the earliest deadline goes first, but where not all can be in
// time, the jobs that take the most room for what they count go behind the
// others, so that the most are (Moore's rule).
func Order(snapshot *Snapshot) []int {
	idx := make([]int, len(snapshot.Jobs))
	for i := range idx {
		idx[i] = i
	}
	cores, gpus := heldCapacity(snapshot)
	first := starvedFirst(snapshot, cores, gpus)
	group := func(a, b int) int {
		x, y := &snapshot.Jobs[a], &snapshot.Jobs[b]
		return cmp.Or(
			compareTrueFirst(x.Priority == 0, y.Priority == 0),
			compareTrueFirst(first[a], first[b]),
			compareTrueFirst(x.Guaranteed, y.Guaranteed),
			cmp.Compare(x.Priority, y.Priority),
			compareTrueFirst(x.Request.GPUs > 0, y.Request.GPUs > 0))
	}
	slices.SortStableFunc(idx, func(a, b int) int {
		x, y := &snapshot.Jobs[a], &snapshot.Jobs[b]
		if first[a] && first[b] {
			return compareStarved(x, y) // production is never among them
		}
		return cmp.Or(group(a, b), cmp.Compare(x.DeadlineS, y.DeadlineS), cmp.Compare(x.ID, y.ID))
	})
	load := 0.0 // time that the held machines need for what goes before
	loadGPUs := 0.0
	for i := 0; i < len(idx); {
		n := i + 1
		for n < len(idx) && group(idx[i], idx[n]) == 0 {
			n++
		}
		if snapshot.Jobs[idx[i]].Request.GPUs > 0 {
			loadGPUs = orderByFeasibility(snapshot, idx[i:n], loadGPUs, first[idx[i]], func(job *Job) float64 { return job.remainingWork(job.Request.GPUs) / math.Max(gpus, 1) })
		} else {
			load = orderByFeasibility(snapshot, idx[i:n], load, first[idx[i]], func(job *Job) float64 { return job.remainingWork(job.Request.Cores) / math.Max(cores, 1) })
		}
		i = n
	}
	return idx
}

// starvedFirst picks the jobs that have waited too long, the longest first, as long
// as what waits of them fits into a part of the held machines: without the bound
// an overload would turn all into a queue in which everything is late.
func starvedFirst(snapshot *Snapshot, cores, gpus float64) []bool {
	first := make([]bool, len(snapshot.Jobs))
	var old []int
	for i := range snapshot.Jobs {
		if job := &snapshot.Jobs[i]; job.StarvedS > 0 && job.Waiting > 0 && !job.BackingOff && job.Priority > 0 {
			old = append(old, i)
		}
	}
	slices.SortFunc(old, func(a, b int) int { return compareStarved(&snapshot.Jobs[a], &snapshot.Jobs[b]) })
	leftCores, leftGPUs := cores*snapshot.StarvationShare, gpus*snapshot.StarvationShare
	idle := cores * snapshot.StarvationShareIdle // of the lowest rank, with what of it runs
	for i := range snapshot.Jobs {
		if job := &snapshot.Jobs[i]; job.Priority == LowestPriority && job.Request.GPUs == 0 {
			idle -= job.Request.Cores * float64(job.Running)
		}
	}
	anyCores, anyGPUs := false, false
	for _, i := range old {
		job := &snapshot.Jobs[i]
		n := float64(job.Waiting)
		if job.Priority == LowestPriority && job.Request.GPUs == 0 {
			if idle <= 0 {
				continue
			}
			idle -= job.Request.Cores * n
		}
		left, some, need := &leftCores, &anyCores, job.Request.Cores
		if job.Request.GPUs > 0 {
			left, some, need = &leftGPUs, &anyGPUs, job.Request.GPUs
		}
		if !*some || need*n <= *left {
			first[i], *some = true, true
			*left -= need * n
		}
	}
	return first
}

// compareStarved orders jobs that have waited too long, the longest first. Those that
// are too late anyway come behind those that can still begin in time: in a long
// overload the others would all be too late by a little.
func compareStarved(x, y *Job) int {
	return cmp.Or(compareTrueFirst(!x.MaxWaitExceeded, !y.MaxWaitExceeded), cmp.Compare(y.StarvedS, x.StarvedS), cmp.Compare(x.ID, y.ID))
}

// heldCapacity is the size of the held machines: cores of those without GPUs, and
// GPUs.
func heldCapacity(snapshot *Snapshot) (cores, gpus float64) {
	for i := range snapshot.Machines {
		machine := &snapshot.Machines[i]
		if machine.Schedulable || machine.Booting || len(machine.Tasks) > 0 {
			t := snapshot.Types[machine.Type].Capacity
			gpus += t.GPUs
			if t.GPUs == 0 {
				cores += t.Cores
			}
		}
	}
	return cores, gpus
}

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

func compareTrueFirst(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	}
	return 1
}
