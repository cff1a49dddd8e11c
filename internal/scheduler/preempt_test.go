package scheduler

import (
	"fmt"
	"testing"

	"marblehaven/internal/protocol"
)

// Room for production is made where the lowest work runs, even if less time
// would be lost elsewhere.
func TestLowestIsStoppedFirst(t *testing.T) {
	snapshot := &Snapshot{Rho: 1, GPUPriority: -1, ExhaustedPools: map[CapacityPool]bool{}, Teams: []Team{{}},
		Types: []MachineType{{Name: "small", Capacity: Resources{4, 0, 16}, Price: 1, BootS: 30, FetchGBps: 1, Zones: zones}}}
	for i, level := range []protocol.PriorityLevel{0, 2, 3} {
		spec := &protocol.Job{ID: protocol.JobID(fmt.Sprint(i)), Kind: protocol.KindArray, Tasks: 1, Cores: 4, MemGB: 4}
		j := Job{ID: spec.ID, Spec: spec, Request: RequestOf(spec), Priority: level, EstimateS: 60, DeadlineS: 100}
		if level == 0 {
			spec.Kind, j.Waiting = protocol.KindService, 1
		} else {
			j.Running = 1
			snapshot.Machines = append(snapshot.Machines, Machine{ID: string(spec.ID), Zone: "a", Schedulable: true, Free: Resources{0, 0, 12},
				Tasks: []RunningTasks{{Job: i, Count: 1, LostWorkS: float64(level*10 - 15)}}})
		}
		snapshot.Jobs = append(snapshot.Jobs, j)
	}
	if st := Decide(snapshot).Preemptions; len(st) != 1 || st[0].Job != 2 {
		t.Errorf("stops %+v", st)
	}
}
