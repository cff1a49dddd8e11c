package scheduler

import (
	"cmp"
	"slices"
)

// starvedFirst picks the jobs that have waited too long, the longest first, as long
// as what waits of them fits into a part of the held machines: without the bound
// an overload would turn all into a queue in which everything is late.
func promoteStarved(snapshot *Snapshot, cores, gpus float64) []bool {
	promoted := make([]bool, len(snapshot.Jobs))
	var starved []int
	for i := range snapshot.Jobs {
		if job := &snapshot.Jobs[i]; job.StarvedS > 0 && job.Waiting > 0 && !job.BackingOff && job.Priority > 0 {
			starved = append(starved, i)
		}
	}
	slices.SortFunc(starved, func(a, b int) int { return compareStarved(&snapshot.Jobs[a], &snapshot.Jobs[b]) })
	leftCores, leftGPUs := cores*snapshot.StarvationShare, gpus*snapshot.StarvationShare
	leftIdleCores := cores * snapshot.StarvationShareIdle // of the lowest rank, with what of it runs
	for i := range snapshot.Jobs {
		if job := &snapshot.Jobs[i]; job.Priority == LowestPriority && job.Request.GPUs == 0 {
			leftIdleCores -= job.Request.Cores * float64(job.Running)
		}
	}
	anyOnCores, anyOnGPUs := false, false
	for _, i := range starved {
		job := &snapshot.Jobs[i]
		waiting := float64(job.Waiting)
		if job.Priority == LowestPriority && job.Request.GPUs == 0 {
			if leftIdleCores <= 0 {
				continue
			}
			leftIdleCores -= job.Request.Cores * waiting
		}
		left, anyPromoted, request := &leftCores, &anyOnCores, job.Request.Cores
		if job.Request.GPUs > 0 {
			left, anyPromoted, request = &leftGPUs, &anyOnGPUs, job.Request.GPUs
		}
		if !*anyPromoted || request*waiting <= *left {
			promoted[i], *anyPromoted = true, true
			*left -= request * waiting
		}
	}
	return promoted
}

// compareStarved orders jobs that have waited too long, the longest first. Those that
// are too late anyway come behind those that can still begin in time: in a long
// overload the others would all be too late by a little.
func compareStarved(x, y *Job) int {
	return cmp.Or(compareTrueFirst(!x.MaxWaitExceeded, !y.MaxWaitExceeded), cmp.Compare(y.StarvedS, x.StarvedS), cmp.Compare(x.ID, y.ID))
}
