package scheduler

import (
	"fmt"
	"math/rand/v2"

	"marblehaven/internal/protocol"
)

var zones = []string{"a", "b"}

// random makes a snapshot. With busy, machines carry tasks that could be
// stopped.
func random(rng *rand.Rand, busy bool) *Snapshot {
	snapshot := &Snapshot{Rho: 1, IdleBootFactor: 2, MayScaleOut: true, MayScaleIn: true, GPUPriority: -1, ExhaustedPools: map[CapacityPool]bool{},
		Types: []MachineType{
			{Name: "small", Capacity: Resources{4, 0, 16}, Price: 0.2, SpotPrice: 0.06, BootS: 30, FetchGBps: 1, Zones: zones},
			{Name: "big", Capacity: Resources{16, 0, 64}, Price: 1, SpotPrice: 0.3, BootS: 40, FetchGBps: 1, Zones: zones},
			{Name: "card", Capacity: Resources{32, 4, 128}, Price: 9, SpotPrice: 3, BootS: 35, FetchGBps: 1, Zones: zones[:1]},
		},
		Teams: []Team{{Max: Resources{Cores: 30, GPUs: 8}}, {}},
	}
	kinds := []protocol.JobKind{protocol.KindArray, protocol.KindArray, protocol.KindGang, protocol.KindService}
	for i := range 1 + rng.IntN(6) {
		spec := &protocol.Job{ID: protocol.JobID(fmt.Sprint(i)), Kind: kinds[rng.IntN(4)], Tasks: 1 + rng.IntN(9), Cores: float64(1 + rng.IntN(4)),
			MemGB: float64(1 + rng.IntN(16)), OneZone: rng.IntN(4) == 0, Spread: rng.IntN(4) == 0, Spot: rng.IntN(2) == 0,
			Image: fmt.Sprint("img", rng.IntN(2)), ImageGB: 2}
		if rng.IntN(4) == 0 {
			spec.GPUs = float64(1 + rng.IntN(4))
		}
		if rng.IntN(5) == 0 {
			spec.MachineTypes = []string{"big", "card"}
		}
		if rng.IntN(5) == 0 {
			spec.Zone = zones[rng.IntN(2)]
		}
		j := Job{ID: spec.ID, Spec: spec, Request: RequestOf(spec), Priority: protocol.PriorityLevel(rng.IntN(4)), Guaranteed: rng.IntN(2) == 0, EstimateS: float64(rng.IntN(60)),
			DeadlineS: float64(rng.IntN(400) - 100), Waiting: rng.IntN(spec.Tasks + 1), Team: rng.IntN(2), RunningByZone: map[string]int{}, BackingOff: rng.IntN(8) == 0}
		if spec.Kind == protocol.KindGang && j.Waiting > 0 {
			j.Waiting = spec.Tasks
		}
		snapshot.Jobs = append(snapshot.Jobs, j)
		if spec.GPUs > 0 {
			snapshot.GPUPriority = max(snapshot.GPUPriority, j.Priority)
			snapshot.GPURequest = Resources{max(snapshot.GPURequest.Cores, spec.Cores), max(snapshot.GPURequest.GPUs, spec.GPUs), max(snapshot.GPURequest.MemGB, spec.MemGB)}
		}
	}
	for i := range rng.IntN(9) {
		m := Machine{ID: fmt.Sprint("m", i), Type: rng.IntN(3), Zone: zones[rng.IntN(2)], Spot: rng.IntN(3) == 0,
			IdleS: float64(rng.IntN(90)), GPUIdleS: float64(rng.IntN(90)), Images: []string{"img0", "img1"}[:rng.IntN(2)], PendingFetchGB: float64(rng.IntN(3)) * 2.5}
		m.Free = snapshot.Types[m.Type].Capacity
		m.Schedulable = rng.IntN(4) > 0
		m.Booting = !m.Schedulable && rng.IntN(2) == 0
		for jobIndex := range snapshot.Jobs {
			job := &snapshot.Jobs[jobIndex]
			if busy && m.Schedulable && rng.IntN(2) == 0 && m.Free.CapacityFor(job.Request) > 0 && len(job.Spec.MachineTypes) == 0 && job.Spec.Kind != protocol.KindGang {
				m.Free = m.Free.Minus(job.Request, 1)
				m.Tasks = append(m.Tasks, RunningTasks{Job: jobIndex, Count: 1})
				job.RunningByZone[m.Zone]++
				job.Running++
				snapshot.Teams[job.Team].Used = snapshot.Teams[job.Team].Used.Minus(job.Request, -1)
			}
		}
		m.Empty = len(m.Tasks) == 0
		snapshot.Machines = append(snapshot.Machines, m)
	}
	return snapshot
}
