package scheduler

import "marblehaven/internal/protocol"

// ChainedJob is a job with the jobs that must be done before it.
type ChainedJob struct {
	Priority  protocol.PriorityLevel // 0 is the highest priority
	DeadlineS float64                // seconds from now until it should be complete; +Inf: no deadline
	EstimateS float64
	DependsOn []int // indices of the jobs that it needs
}

// PropagateDeadlines gives each job the highest priority of all that need it, directly or
// through others, and the earliest time by which it must be complete for their
// deadlines to be kept: a deadline less the estimates on the longest path (the
// critical path) from the job to the one that is due.
func PropagateDeadlines(jobs []ChainedJob) {
	dependents := make([]int, len(jobs)) // jobs that need it and have not passed on yet
	for i := range jobs {
		for _, dependencyIndex := range jobs[i].DependsOn {
			dependents[dependencyIndex]++
		}
	}
	var ready []int
	for i, n := range dependents {
		if n == 0 {
			ready = append(ready, i)
		}
	}
	for len(ready) > 0 {
		last := len(ready) - 1
		dependent := &jobs[ready[last]]
		ready = ready[:last]
		for _, dependencyIndex := range dependent.DependsOn {
			dependency := &jobs[dependencyIndex]
			dependency.Priority = min(dependency.Priority, dependent.Priority)
			dependency.DeadlineS = min(dependency.DeadlineS, dependent.DeadlineS-dependent.EstimateS)
			if dependents[dependencyIndex]--; dependents[dependencyIndex] == 0 {
				ready = append(ready, dependencyIndex)
			}
		}
	}
}
