package scheduler

import (
	"fmt"
	"testing"

	"marblehaven/internal/protocol"
)

// starvedGangSnapshot returns a snapshot with a starved gang of four tasks, eight gangs
// of one task, and six machines that are not schedulable yet.
func starvedGangSnapshot() *Snapshot {
	snapshot := &Snapshot{
		Rho: 1, IdleTimeoutBootFactor: 4, StarvationShare: 0.5,
		LowestGPUPriority: 2, LargestGPURequest: Resources{4, 4, 8},
		ExhaustedPools: map[CapacityPool]bool{},
		Types:          []MachineType{{Name: "card", Capacity: Resources{8, 4, 16}, Price: 9, BootS: 35, FetchGBps: 1, Zones: zones}},
		Teams:          []Team{{}},
	}
	snapshot.Jobs = append(snapshot.Jobs, gpuGang("big", 4, 5))
	for i := range 8 {
		snapshot.Jobs = append(snapshot.Jobs, gpuGang(protocol.JobID(fmt.Sprint("small", i)), 1, 0))
	}
	for i := range 6 {
		snapshot.Machines = append(snapshot.Machines, Machine{ID: fmt.Sprint("m", i), Zone: "a", Free: snapshot.Types[0].Capacity})
	}
	return snapshot
}

// gpuGang returns a gang whose tasks each take all GPUs of a machine.
func gpuGang(jobID protocol.JobID, tasks int, starvedS float64) Job {
	spec := &protocol.Job{
		ID: jobID, Kind: protocol.KindGang, Priority: protocol.PriorityStandard,
		Tasks: tasks, Cores: 4, GPUs: 4, MemGB: 8, OneZone: true,
	}
	return Job{
		ID: jobID, Spec: spec, Request: RequestOf(spec), Priority: 2,
		EstimateS: 60, DeadlineS: 100 - starvedS, StarvedS: starvedS,
		Waiting: tasks, Weight: 1,
	}
}

// Machines that become free are reserved for a starved gang. Smaller gangs do not get
// them, although they would otherwise be scheduled first. The starved gang starts once it
// has enough machines. Without the reservation the small gangs take every machine and the
// starved gang never starts.
func TestStarvedGangGathers(t *testing.T) {
	snapshot := starvedGangSnapshot()
	started := false
	for round := 0; round < 6 && !started; round++ { // one more machine becomes free in each round
		snapshot.Machines[round].Schedulable = true
		for _, start := range Decide(snapshot).Starts {
			if start.Job == 0 {
				started = started || round >= 3
			} else if !started {
				t.Fatalf("round %d: %s takes a machine that is reserved for the starved gang", round, snapshot.Jobs[start.Job].ID)
			}
		}
	}
	if !started {
		t.Error("the starved gang did not start")
	}
	snapshot.Jobs[0].StarvedS = 0 // without starvation the same gang is scheduled after the others
	snapshot.Machines[5].Schedulable, snapshot.Jobs[0].DeadlineS = false, -1
	if plan := Decide(snapshot); len(plan.Starts) == 0 || plan.Starts[0].Job == 0 {
		t.Errorf("starts %v, want a small gang to start before the large one", plan.Starts)
	}
}

// If one zone has capacity for a part of a gang, machines are added for the rest. If the
// free machine, or machines in different zones, counted as enough for the whole gang, the
// gang would wait indefinitely.
func TestGangScalesOutForTheRest(t *testing.T) {
	spec := &protocol.Job{ID: "g", Kind: protocol.KindGang, Tasks: 3, Cores: 4, GPUs: 2, MemGB: 8, OneZone: true, Spot: true}
	snapshot := &Snapshot{Rho: 1, MayScaleOut: true, ExhaustedPools: map[CapacityPool]bool{}, Teams: []Team{{}},
		Types: []MachineType{{Name: "card", Capacity: Resources{8, 4, 16}, Price: 9, SpotPrice: 3, BootS: 35, FetchGBps: 1, Zones: zones}},
		Jobs:  []Job{{ID: "g", Spec: spec, Request: RequestOf(spec), Priority: 1, EstimateS: 60, DeadlineS: -10, Waiting: 3}}}
	for _, zone := range zones {
		snapshot.Machines = append(snapshot.Machines, Machine{Zone: zone, Schedulable: true, Free: snapshot.Types[0].Capacity})
	}
	if requests := Decide(snapshot).ScaleOuts; len(requests) != 1 || requests[0].Count != 1 {
		t.Errorf("scale-out requests %+v, want one request for one machine", requests)
	}
}
