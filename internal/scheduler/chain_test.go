package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"

	"marblehaven/internal/protocol"
)

// inherited follows every path from a job to those that need it.
func inherited(jobs []ChainedJob, i int) (priority protocol.PriorityLevel, deadlineS float64) {
	priority, deadlineS = jobs[i].Priority, jobs[i].DeadlineS
	for k := range jobs {
		for _, need := range jobs[k].DependsOn {
			if need == i {
				r, d := inherited(jobs, k)
				priority, deadlineS = min(priority, r), min(deadlineS, d-jobs[k].EstimateS)
			}
		}
	}
	return priority, deadlineS
}

// On random graphs the priority and deadline that reach a job are those found by
// following every path.
func TestInherit(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		jobs := make([]ChainedJob, 1+rng.IntN(9))
		for i := range jobs {
			jobs[i] = ChainedJob{Priority: protocol.PriorityLevel(rng.IntN(4)), DeadlineS: math.Inf(1), EstimateS: rng.Float64() * 60}
			if rng.IntN(3) == 0 {
				jobs[i].DeadlineS = rng.Float64()*300 - 100
			}
			for need := range i { // only jobs that were accepted before
				if rng.IntN(3) == 0 {
					jobs[i].DependsOn = append(jobs[i].DependsOn, need)
				}
			}
		}
		got := make([]ChainedJob, len(jobs))
		copy(got, jobs)
		PropagateDeadlines(got)
		for i := range jobs {
			priority, due := inherited(jobs, i)
			if got[i].Priority != priority || math.Abs(got[i].DeadlineS-due) > 1e-6 && got[i].DeadlineS != due {
				t.Fatalf("job %d of %+v: priority %d due %v instead of %d, %v", i, jobs, got[i].Priority, got[i].DeadlineS, priority, due)
			}
		}
	}
}

// Records can hold no cycle, since only accepted jobs may be named. If one did all
// the same, the decisions would go on.
func TestInheritCycle(t *testing.T) {
	jobs := []ChainedJob{{Priority: 3, DeadlineS: 10, DependsOn: []int{1}}, {Priority: 2, DeadlineS: 20, DependsOn: []int{0}}, {Priority: 1, DeadlineS: 30, DependsOn: []int{0}}}
	PropagateDeadlines(jobs)
	if jobs[2].Priority != 1 {
		t.Errorf("%+v", jobs)
	}
}
