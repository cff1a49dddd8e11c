package scheduler

import "marblehaven/internal/protocol"

// ChainedJob is a job with its dependencies, as far as deadlines and priorities go.
type ChainedJob struct {
	Priority  protocol.PriorityLevel // the smaller the level, the higher the priority
	DeadlineS float64                // seconds from now until it should be complete; +Inf: no deadline
	EstimateS float64                // estimated run time in seconds
	DependsOn []int                  // indices of the jobs that must be done before it starts
}

// PropagateDeadlines gives each job the highest priority of all its dependents, direct
// or through others, and the earliest time by which it must be complete for their
// deadlines to be kept: a deadline less the estimates on the longest path (the critical
// path) from the job to the one that is due.
//
// Dependencies form a directed acyclic graph, since only accepted jobs can be named.
// Should stored records hold a cycle all the same, its jobs pass nothing on, and the
// priorities and deadlines of all other jobs are still propagated.
func PropagateDeadlines(jobs []ChainedJob) {
	pending := countDependents(jobs)
	var ready []int // jobs that have heard from all of their dependents
	for i, dependents := range pending {
		if dependents == 0 {
			ready = append(ready, i)
		}
	}
	for len(ready) > 0 {
		last := len(ready) - 1
		dependent := &jobs[ready[last]]
		ready = ready[:last]
		for _, i := range dependent.DependsOn {
			jobs[i].inheritFrom(dependent)
			if pending[i]--; pending[i] == 0 {
				ready = append(ready, i)
			}
		}
	}
}

// countDependents counts for each job the jobs that name it as a dependency.
func countDependents(jobs []ChainedJob) []int {
	dependents := make([]int, len(jobs))
	for i := range jobs {
		for _, dependency := range jobs[i].DependsOn {
			dependents[dependency]++
		}
	}
	return dependents
}

// inheritFrom takes over the priority and the deadline of a dependent where they are
// stricter. The dependent must have its run time left after this job is complete.
func (j *ChainedJob) inheritFrom(dependent *ChainedJob) {
	j.Priority = min(j.Priority, dependent.Priority)
	j.DeadlineS = min(j.DeadlineS, dependent.DeadlineS-dependent.EstimateS)
}
