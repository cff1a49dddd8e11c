package scheduler

import (
	"cmp"
	"slices"
)

// promoteStarved returns for each job whether it is scheduled ahead of its class because
// it has waited too long (aging). The longest wait is promoted first, and only as long as
// the waiting tasks of the promoted jobs fit into a share of the provisioned machines.
// Without this bound an overload would turn all work into one queue in which every job is
// late.
func promoteStarved(snapshot *Snapshot, provisioned provisionedCapacity) []bool {
	promoted := make([]bool, len(snapshot.Jobs))
	budget := newStarvationBudget(snapshot, provisioned)
	for _, i := range starvedJobs(snapshot) {
		promoted[i] = budget.admit(&snapshot.Jobs[i])
	}
	return promoted
}

// starvedJobs lists the jobs that have waited too long, sorted by compareStarved.
// Production jobs are scheduled first anyway and are not listed.
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

// compareStarved orders starved jobs, the longest wait first. Jobs that have exceeded the
// longest allowed wait come after those that can still start within it: otherwise, in a
// long overload, all of the others would be slightly late as well.
func compareStarved(x, y *Job) int {
	return cmp.Or(
		compareTrueFirst(!x.MaxWaitExceeded, !y.MaxWaitExceeded),
		cmp.Compare(y.StarvedS, x.StarvedS),
		cmp.Compare(x.ID, y.ID))
}

// starvationBudget is the remaining capacity that starved jobs may claim.
type starvationBudget struct {
	cores, gpus starvationShare
	// lowestPriorityCores is a further limit for the lowest priority: on its running
	// tasks and its promoted ones together.
	lowestPriorityCores float64
}

// starvationShare is the remaining share of one resource. The first job is promoted even
// if it is larger than the share; otherwise the largest jobs could wait indefinitely.
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

// admit reports whether the waiting tasks of a job are within the budget, and charges
// them if they are. A job of the lowest priority is charged to lowestPriorityCores even
// if the share of the cores then turns out to be spent.
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

// isLowestWithoutGPUs reports whether the job is one of those that
// StarvationShareLowestPriority limits: jobs of the lowest priority that need no GPUs.
func (j *Job) isLowestWithoutGPUs() bool {
	return j.Priority == LowestPriority && !j.needsGPUs()
}
