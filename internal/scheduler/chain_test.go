package scheduler

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"marblehaven/internal/protocol"
)

// inherited returns the priority and deadline that a job inherits, computed by following
// every path from the job to its dependents.
func inherited(jobs []ChainedJob, i int) (priority protocol.PriorityLevel, deadlineS float64) {
	priority, deadlineS = jobs[i].Priority, jobs[i].DeadlineS
	for k := range jobs {
		for _, dependency := range jobs[k].DependsOn {
			if dependency == i {
				dependentPriority, dependentDeadlineS := inherited(jobs, k)
				priority = min(priority, dependentPriority)
				deadlineS = min(deadlineS, dependentDeadlineS-jobs[k].EstimateS)
			}
		}
	}
	return priority, deadlineS
}

// randomChain returns up to nine random jobs, each of which may depend on the jobs before
// it.
func randomChain(rng *rand.Rand) []ChainedJob {
	jobs := make([]ChainedJob, 1+rng.IntN(9))
	for i := range jobs {
		jobs[i] = ChainedJob{Priority: protocol.PriorityLevel(rng.IntN(4)), DeadlineS: math.Inf(1), EstimateS: rng.Float64() * 60}
		if rng.IntN(3) == 0 {
			jobs[i].DeadlineS = rng.Float64()*300 - 100
		}
		for dependency := range i {
			if rng.IntN(3) == 0 {
				jobs[i].DependsOn = append(jobs[i].DependsOn, dependency)
			}
		}
	}
	return jobs
}

// On random graphs, the propagated priorities and deadlines must equal those found by
// following every path.
func TestPropagateDeadlines(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		jobs := randomChain(rng)
		got := slices.Clone(jobs)
		PropagateDeadlines(got)
		for i := range jobs {
			priority, deadlineS := inherited(jobs, i)
			sameDeadline := math.Abs(got[i].DeadlineS-deadlineS) <= 1e-6 || got[i].DeadlineS == deadlineS
			if got[i].Priority != priority || !sameDeadline {
				t.Fatalf("job %d of %+v: priority %d, deadline %v; want priority %d, deadline %v", i, jobs, got[i].Priority, got[i].DeadlineS, priority, deadlineS)
			}
		}
	}
}

// Records cannot contain a cycle, since only accepted jobs can be named as dependencies.
// If one exists nevertheless, PropagateDeadlines must return and leave the other jobs
// intact.
func TestPropagateDeadlinesWithCycle(t *testing.T) {
	jobs := []ChainedJob{
		{Priority: 3, DeadlineS: 10, DependsOn: []int{1}},
		{Priority: 2, DeadlineS: 20, DependsOn: []int{0}},
		{Priority: 1, DeadlineS: 30, DependsOn: []int{0}},
	}
	PropagateDeadlines(jobs)
	if jobs[2].Priority != 1 {
		t.Errorf("the priority of the job outside the cycle has changed: %+v", jobs)
	}
}
