package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// Order sorts job indices by who is served first: player-facing production
// work, then what has waited too long, then work within a guarantee, then rank.
// Among equals the earliest deadline goes first, but where not all can be in
// time, the jobs that take the most room for what they count go behind the
// others, so that the most are (Moore's rule).
func Order(snapshot *Snapshot) []int {
	order := make([]int, len(snapshot.Jobs))
	for i := range order {
		order[i] = i
	}
	cores, gpus := provisionedCapacity(snapshot)
	promoted := promoteStarved(snapshot, cores, gpus)
	compareGroups := func(a, b int) int {
		x, y := &snapshot.Jobs[a], &snapshot.Jobs[b]
		return cmp.Or(
			compareTrueFirst(x.Priority == 0, y.Priority == 0),
			compareTrueFirst(promoted[a], promoted[b]),
			compareTrueFirst(x.Guaranteed, y.Guaranteed),
			cmp.Compare(x.Priority, y.Priority),
			compareTrueFirst(x.Request.GPUs > 0, y.Request.GPUs > 0))
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &snapshot.Jobs[a], &snapshot.Jobs[b]
		if promoted[a] && promoted[b] {
			return compareStarved(x, y) // production is never among them
		}
		return cmp.Or(compareGroups(a, b), cmp.Compare(x.DeadlineS, y.DeadlineS), cmp.Compare(x.ID, y.ID))
	})
	load := 0.0 // time that the held machines need for what goes before
	loadGPUs := 0.0
	for i := 0; i < len(order); {
		end := i + 1
		for end < len(order) && compareGroups(order[i], order[end]) == 0 {
			end++
		}
		if snapshot.Jobs[order[i]].Request.GPUs > 0 {
			loadGPUs = orderByFeasibility(snapshot, order[i:end], loadGPUs, promoted[order[i]], func(job *Job) float64 { return job.remainingWork(job.Request.GPUs) / math.Max(gpus, 1) })
		} else {
			load = orderByFeasibility(snapshot, order[i:end], load, promoted[order[i]], func(job *Job) float64 { return job.remainingWork(job.Request.Cores) / math.Max(cores, 1) })
		}
		i = end
	}
	return order
}

// heldCapacity is the size of the held machines: cores of those without GPUs, and
// GPUs.
func provisionedCapacity(snapshot *Snapshot) (cores, gpus float64) {
	for i := range snapshot.Machines {
		machine := &snapshot.Machines[i]
		if machine.Schedulable || machine.Booting || len(machine.Tasks) > 0 {
			capacity := snapshot.Types[machine.Type].Capacity
			gpus += capacity.GPUs
			if capacity.GPUs == 0 {
				cores += capacity.Cores
			}
		}
	}
	return cores, gpus
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

// remainingWork is what is left to do of the job, in need times seconds.
func (j *Job) remainingWork(need float64) float64 {
	return (float64(j.Waiting) + float64(j.Running)/2) * j.EstimateS * need
}
