package scheduler

import "marblehaven/internal/protocol"

// ChainedJob holds what PropagateDeadlines needs of a job: its priority, deadline, run
// time and dependencies.
type ChainedJob struct {
	Priority  protocol.PriorityLevel // the smaller the level, the higher the priority
	DeadlineS float64                // seconds from now until the job should be complete; +Inf without a deadline
	EstimateS float64                // estimated run time in seconds
	DependsOn []int                  // indices of the jobs that must be done before this one starts
}

// PropagateDeadlines raises the priority of each job to the highest among its direct and
// indirect dependents, and lowers its deadline to the time by which the job must be
// complete for all of them to meet theirs. A dependent requires the job to be complete by
// the dependent's own deadline minus the estimates of the jobs after this one on the
// longest path to the dependent (the critical path).
//
// Dependencies form a directed acyclic graph, since a job can name only jobs that were
// accepted before. If stored records contain a cycle nevertheless, its jobs and the jobs
// that they depend on pass nothing on; propagation between all other jobs still
// completes.
func PropagateDeadlines(jobs []ChainedJob) {
	pending := countDependents(jobs)
	var ready []int // jobs that have inherited from all of their dependents
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
// stricter. The inherited deadline leaves time for the dependent to run after this job is
// complete.
func (j *ChainedJob) inheritFrom(dependent *ChainedJob) {
	j.Priority = min(j.Priority, dependent.Priority)
	j.DeadlineS = min(j.DeadlineS, dependent.DeadlineS-dependent.EstimateS)
}
