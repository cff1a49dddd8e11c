package scheduler

import (
	"cmp"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"

	"marblehaven/internal/protocol"
)

// singleClassSnapshot returns a random snapshot of one class of jobs and a machine with
// one core. The jobs differ in their deadlines and in how long the core takes for them.
func singleClassSnapshot(rng *rand.Rand) *Snapshot {
	snapshot := &Snapshot{
		Types:    []MachineType{{Name: "small", Capacity: Resources{Cores: 1, MemGB: 8}, Price: 1}},
		Machines: []Machine{{Schedulable: true}},
		Teams:    []Team{{}},
	}
	for i := range 2 + rng.IntN(7) {
		spec := &protocol.Job{ID: protocol.JobID(fmt.Sprint(i)), Kind: protocol.KindArray, Cores: 1}
		snapshot.Jobs = append(snapshot.Jobs, Job{ID: spec.ID, Spec: spec, Request: RequestOf(spec), Priority: 2,
			EstimateS: 1, Waiting: 1 + rng.IntN(9), DeadlineS: float64(2 + rng.IntN(40)), Weight: 1})
	}
	return snapshot
}

// countInTime returns how many jobs meet their deadlines if they run one after another in
// the given order.
func countInTime(jobs []Job, order []int) (count int) {
	load := 0.0
	for _, i := range order {
		load += float64(jobs[i].Waiting)
		if load+jobs[i].EstimateS <= jobs[i].DeadlineS {
			count++
		}
	}
	return count
}

// maxInTime returns the largest number of jobs that can be in time. It tries every set of
// jobs, and within each set runs the job with the earliest deadline first.
func maxInTime(jobs []Job) (most int) {
	byDeadline := make([]int, len(jobs))
	for i := range byDeadline {
		byDeadline[i] = i
	}
	slices.SortFunc(byDeadline, func(a, b int) int { return cmp.Compare(jobs[a].DeadlineS, jobs[b].DeadlineS) })
	for set := range uint(1) << len(jobs) {
		var chosen []int
		for _, i := range byDeadline {
			if set>>i&1 == 1 {
				chosen = append(chosen, i)
			}
		}
		if countInTime(jobs, chosen) == bits.OnesCount(set) {
			most = max(most, len(chosen))
		}
	}
	return most
}

// If the jobs cannot all meet their deadlines, then Order lets as many of them do so as
// the best possible order would.
func TestOrderKeepsMostJobsInTime(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 12))
	overloaded := 0
	for i := range 500 {
		snapshot := singleClassSnapshot(rng)
		want := maxInTime(snapshot.Jobs)
		if want < len(snapshot.Jobs) {
			overloaded++
		}
		if got := countInTime(snapshot.Jobs, Order(snapshot)); got != want {
			t.Fatalf("snapshot %d: %d jobs in time, want %d: %+v", i, got, want, snapshot.Jobs)
		}
	}
	if overloaded < 100 {
		t.Errorf("only %d snapshots are overloaded, too few to test the order", overloaded)
	}
}
