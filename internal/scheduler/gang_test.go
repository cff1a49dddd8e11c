package scheduler

import (
	"fmt"
	"testing"

	"marblehaven/internal/protocol"
)

// A gang that has waited too long gets the machines that fall free kept for it,
// also against smaller gangs that would be served before it; once all are there
// it starts. Without the guard the small ones take every machine for ever.
func TestOverdueGangGathers(t *testing.T) {
	need := Resources{4, 4, 8}
	snapshot := &Snapshot{Rho: 1, IdleBootFactor: 4, StarvationShare: 0.5, GPUPriority: 2, GPURequest: need, ExhaustedPools: map[CapacityPool]bool{},
		Types: []MachineType{{Name: "card", Capacity: Resources{8, 4, 16}, Price: 9, BootS: 35, FetchGBps: 1, Zones: zones}}, Teams: []Team{{}}}
	add := func(jobID protocol.JobID, tasks int, overdue float64) {
		spec := &protocol.Job{ID: jobID, Kind: protocol.KindGang, Tasks: tasks, Cores: 4, GPUs: 4, MemGB: 8, OneZone: true, Priority: protocol.PriorityStandard}
		snapshot.Jobs = append(snapshot.Jobs, Job{ID: jobID, Spec: spec, Request: RequestOf(spec), Priority: 2, EstimateS: 60, DeadlineS: 100 - overdue, Waiting: tasks, StarvedS: overdue, Weight: 1})
	}
	add("big", 4, 5)
	for i := range 8 {
		add(protocol.JobID(fmt.Sprint("small", i)), 1, 0)
	}
	for i := range 6 {
		snapshot.Machines = append(snapshot.Machines, Machine{ID: fmt.Sprint("m", i), Zone: "a", Free: snapshot.Types[0].Capacity})
	}
	started := false
	for round := 0; round < 6; round++ { // one machine falls free after another
		snapshot.Machines[round].Schedulable = true
		for _, st := range Decide(snapshot).Starts {
			if st.Job == 0 {
				started = started || round >= 3
			} else if !started {
				t.Fatalf("round %d: %s takes a machine that the overdue gang waits for", round, snapshot.Jobs[st.Job].ID)
			}
		}
		if started {
			break
		}
	}
	if !started {
		t.Error("the overdue gang did not start")
	}
	snapshot.Jobs[0].StarvedS = 0 // the same gang, not overdue, goes behind
	snapshot.Machines[5].Schedulable, snapshot.Jobs[0].DeadlineS = false, -1
	if p := Decide(snapshot); len(p.Starts) == 0 || p.Starts[0].Job == 0 {
		t.Errorf("starts %v", p.Starts)
	}
}

// A gang for which a part of the room is there gets the rest rented. (The chaos
// test found one waiting for ever: the machine that was free for a part of it
// was taken for all it needed. So would be machines in different zones.)
func TestGangRentsTheRest(t *testing.T) {
	spec := &protocol.Job{ID: "g", Kind: protocol.KindGang, Tasks: 3, Cores: 4, GPUs: 2, MemGB: 8, OneZone: true, Spot: true}
	snapshot := &Snapshot{Rho: 1, MayScaleOut: true, ExhaustedPools: map[CapacityPool]bool{}, Teams: []Team{{}},
		Types: []MachineType{{Name: "card", Capacity: Resources{8, 4, 16}, Price: 9, SpotPrice: 3, BootS: 35, FetchGBps: 1, Zones: zones}},
		Jobs:  []Job{{ID: "g", Spec: spec, Request: RequestOf(spec), Priority: 1, EstimateS: 60, DeadlineS: -10, Waiting: 3}}}
	for _, z := range zones {
		snapshot.Machines = append(snapshot.Machines, Machine{Zone: z, Schedulable: true, Free: snapshot.Types[0].Capacity})
	}
	if r := Decide(snapshot).ScaleOuts; len(r) != 1 || r[0].Count != 1 {
		t.Errorf("rents %+v, not one more machine", r)
	}
}
