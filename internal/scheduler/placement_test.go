package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// Placing the tasks of a job together must put as many on each machine as placing them
// one by one, each on the machine with the lowest cost.
func TestStartsMatchReferenceModel(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	placed := 0
	for i := range 4000 {
		snapshot := randomSnapshot(rng, false)
		got := map[string]int{}
		for _, start := range Decide(snapshot).Starts {
			got[placementKey(&snapshot.Jobs[start.Job], &snapshot.Machines[start.Machine])] += start.Count
			placed += start.Count
		}
		if diff := cmp.Diff(referencePlacements(snapshot), got); diff != "" {
			t.Fatalf("snapshot %d: tasks by job and machine differ (-want +got):\n%s", i, diff)
		}
	}
	if placed < 4000 {
		t.Errorf("only %d tasks were placed: the snapshots test too little", placed)
	}
}

// A machine with many pending fetches takes no job whose image it lacks. That must not
// exclude the machine for a job of the same kind whose image it has.
func TestExhaustedKindsAreByImage(t *testing.T) {
	snapshot := &Snapshot{Rho: 1, LowestGPUPriority: -1, ExhaustedPools: map[CapacityPool]bool{}, Teams: []Team{{}},
		Types:    []MachineType{{Name: "small", Capacity: Resources{4, 0, 16}, Price: 1, BootS: 30, FetchGBps: 1, Zones: zones}},
		Machines: []Machine{{Zone: "a", Schedulable: true, Free: Resources{4, 0, 16}, Images: []string{"there"}, PendingFetchGB: 2 * tuning.FetchAheadS}}}
	for i, image := range []string{"elsewhere", "there"} {
		spec := &protocol.Job{ID: protocol.JobID(fmt.Sprint(i)), Kind: protocol.KindArray, Tasks: 1, Cores: 1, MemGB: 1, Image: image, ImageGB: 2}
		snapshot.Jobs = append(snapshot.Jobs, Job{
			ID: spec.ID, Spec: spec, Request: RequestOf(spec), Priority: 2,
			EstimateS: 60, DeadlineS: 500 + float64(i), Waiting: 1,
		})
	}
	if starts := Decide(snapshot).Starts; len(starts) != 1 || starts[0].Job != 1 {
		t.Errorf("starts %+v, want only one of job 1", starts)
	}
}
