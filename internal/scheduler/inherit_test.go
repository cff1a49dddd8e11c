package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
)

// inherited follows every path from a job to those that need it.
func inherited(jobs []Chained, i int) (rank int, dueS float64) {
	rank, dueS = jobs[i].Rank, jobs[i].DueS
	for k := range jobs {
		for _, need := range jobs[k].Needs {
			if need == i {
				r, d := inherited(jobs, k)
				rank, dueS = min(rank, r), min(dueS, d-jobs[k].EstimateS)
			}
		}
	}
	return rank, dueS
}

// On random graphs the priority and deadline that reach a job are those found by
// following every path.
func TestInherit(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		jobs := make([]Chained, 1+rng.IntN(9))
		for i := range jobs {
			jobs[i] = Chained{Rank: rng.IntN(4), DueS: math.Inf(1), EstimateS: rng.Float64() * 60}
			if rng.IntN(3) == 0 {
				jobs[i].DueS = rng.Float64()*300 - 100
			}
			for need := range i { // only jobs that were accepted before
				if rng.IntN(3) == 0 {
					jobs[i].Needs = append(jobs[i].Needs, need)
				}
			}
		}
		got := make([]Chained, len(jobs))
		copy(got, jobs)
		Inherit(got)
		for i := range jobs {
			rank, due := inherited(jobs, i)
			if got[i].Rank != rank || math.Abs(got[i].DueS-due) > 1e-6 && got[i].DueS != due {
				t.Fatalf("job %d of %+v: rank %d due %v instead of %d, %v", i, jobs, got[i].Rank, got[i].DueS, rank, due)
			}
		}
	}
}

// Records can hold no cycle, since only accepted jobs may be named. If one did all
// the same, the decisions would go on.
func TestInheritCycle(t *testing.T) {
	jobs := []Chained{{Rank: 3, DueS: 10, Needs: []int{1}}, {Rank: 2, DueS: 20, Needs: []int{0}}, {Rank: 1, DueS: 30, Needs: []int{0}}}
	Inherit(jobs)
	if jobs[2].Rank != 1 {
		t.Errorf("%+v", jobs)
	}
}
