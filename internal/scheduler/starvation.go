package scheduler

import (
	"cmp"
	"slices"
)

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
