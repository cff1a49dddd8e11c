package scheduler

import (
	"fmt"
	"testing"

	"marblehaven/internal/protocol"
)

// Production preempts the lowest priority, even if less work would be lost elsewhere.
func TestLowestPriorityIsPreemptedFirst(t *testing.T) {
	snapshot := &Snapshot{Rho: 1, LowestGPUPriority: -1, ExhaustedPools: map[CapacityPool]bool{}, Teams: []Team{{}},
		Types: []MachineType{{Name: "small", Capacity: Resources{4, 0, 16}, Price: 1, BootS: 30, FetchGBps: 1, Zones: zones}}}
	addSingleTaskJob(snapshot, protocol.KindService, 0).Waiting = 1
	for _, level := range []protocol.PriorityLevel{2, 3} {
		job := addSingleTaskJob(snapshot, protocol.KindArray, level)
		job.Running = 1
		snapshot.Machines = append(snapshot.Machines, Machine{ID: string(job.ID), Zone: "a", Schedulable: true, Free: Resources{0, 0, 12},
			Tasks: []RunningTasks{{Job: len(snapshot.Jobs) - 1, Count: 1, LostWorkS: float64(level*10 - 15)}}})
	}
	if preemptions := Decide(snapshot).Preemptions; len(preemptions) != 1 || preemptions[0].Job != 2 {
		t.Errorf("preemptions %+v, want only one of job 2", preemptions)
	}
}

// addSingleTaskJob adds a job of one task that takes all cores of a machine. The returned
// pointer is valid until the next job is added.
func addSingleTaskJob(snapshot *Snapshot, kind protocol.JobKind, level protocol.PriorityLevel) *Job {
	spec := &protocol.Job{ID: protocol.JobID(fmt.Sprint(len(snapshot.Jobs))), Kind: kind, Tasks: 1, Cores: 4, MemGB: 4}
	snapshot.Jobs = append(snapshot.Jobs, Job{ID: spec.ID, Spec: spec, Request: RequestOf(spec), Priority: level, EstimateS: 60, DeadlineS: 100})
	return &snapshot.Jobs[len(snapshot.Jobs)-1]
}
