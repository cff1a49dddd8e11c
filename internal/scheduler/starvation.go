package scheduler

import (
	"cmp"
	"slices"
)

// promoteStarved tells for each job whether it is scheduled ahead of its class because
// it has waited too long (aging). The longest wait is promoted first, and only as long
// as what waits of the promoted jobs fits into a share of the provisioned machines:
// without this bound an overload would turn all work into one queue in which every
// job is late.
func promoteStarved(snapshot *Snapshot, provisioned provisionedCapacity) []bool {
	promoted := make([]bool, len(snapshot.Jobs))
	budget := newStarvationBudget(snapshot, provisioned)
	for _, i := range starvedJobs(snapshot) {
		promoted[i] = budget.admit(&snapshot.Jobs[i])
	}
	return promoted
}

// starvedJobs lists the jobs that have waited too long, by compareStarved. Production
// goes first anyway and is not listed.
func starvedJobs(snapshot *Snapshot) []int {
	var starved []int
	for i := range snapshot.Jobs {
		if job := &snapshot.Jobs[i]; job.StarvedS > 0 && job.hasStartableTasks() && !job.isProduction() {
			starved = append(starved, i)
		}
	}
	slices.SortFunc(starved, func(a, b int) int { return compareStarved(&snapshot.Jobs[a], &snapshot.Jobs[b]) })
	return starved
}

// compareStarved orders starved jobs, the longest wait first. Jobs that have exceeded
// the longest wait allowed go behind those that can still begin within it: in a long
// overload all the others would be too late by a little as well.
func compareStarved(x, y *Job) int {
	return cmp.Or(
		compareTrueFirst(!x.MaxWaitExceeded, !y.MaxWaitExceeded),
		cmp.Compare(y.StarvedS, x.StarvedS),
		cmp.Compare(x.ID, y.ID))
}

// starvationBudget is what is left of the capacity that starved jobs may claim.
type starvationBudget struct {
	cores, gpus starvationShare
	// lowestPriorityCores bounds the lowest priority further: its running tasks and
	// its promoted ones together.
	lowestPriorityCores float64
}

// starvationShare is the share of one resource. The first job is promoted even if it
// is larger than the share: otherwise the largest jobs would wait for ever.
type starvationShare struct {
	left float64
	used bool
}

func newStarvationBudget(snapshot *Snapshot, provisioned provisionedCapacity) *starvationBudget {
	budget := &starvationBudget{
		cores:               starvationShare{left: provisioned.cores * snapshot.StarvationShare},
		gpus:                starvationShare{left: provisioned.gpus * snapshot.StarvationShare},
		lowestPriorityCores: provisioned.cores * snapshot.StarvationShareLowestPriority,
	}
	for i := range snapshot.Jobs {
		if job := &snapshot.Jobs[i]; job.isLowestWithoutGPUs() {
			budget.lowestPriorityCores -= job.Request.Cores * float64(job.Running)
		}
	}
	return budget
}

// admit tells whether the waiting tasks of a job are within the budget, and charges
// them. A job of the lowest priority is charged against the bound of that priority
// even if its share of the cores turns out to be spent.
func (b *starvationBudget) admit(job *Job) bool {
	waiting := float64(job.Waiting)
	if job.isLowestWithoutGPUs() {
		if b.lowestPriorityCores <= 0 {
			return false
		}
		b.lowestPriorityCores -= job.Request.Cores * waiting
	}
	if job.needsGPUs() {
		return b.gpus.admit(job.Request.GPUs * waiting)
	}
	return b.cores.admit(job.Request.Cores * waiting)
}

func (s *starvationShare) admit(amount float64) bool {
	if s.used && amount > s.left {
		return false
	}
	s.used = true
	s.left -= amount
	return true
}

// isLowestWithoutGPUs tells whether the job is of those that StarvationShareLowestPriority bounds.
func (j *Job) isLowestWithoutGPUs() bool {
	return j.Priority == LowestPriority && !j.needsGPUs()
}
