package scheduler

import (
	"fmt"
	"math/rand/v2"

	"marblehaven/internal/protocol"
)

// zones are the zones of the tests' clusters.
var zones = []string{"a", "b"}

// randomSnapshot returns a random snapshot. If busy is set, machines have tasks that can
// be preempted.
func randomSnapshot(rng *rand.Rand, busy bool) *Snapshot {
	snapshot := &Snapshot{Rho: 1, IdleTimeoutBootFactor: 2, MayScaleOut: true, MayScaleIn: true, LowestGPUPriority: -1, ExhaustedPools: map[CapacityPool]bool{},
		Types: []MachineType{
			{Name: "small", Capacity: Resources{4, 0, 16}, Price: 0.2, SpotPrice: 0.06, BootS: 30, FetchGBps: 1, Zones: zones},
			{Name: "big", Capacity: Resources{16, 0, 64}, Price: 1, SpotPrice: 0.3, BootS: 40, FetchGBps: 1, Zones: zones},
			{Name: "card", Capacity: Resources{32, 4, 128}, Price: 9, SpotPrice: 3, BootS: 35, FetchGBps: 1, Zones: zones[:1]},
		},
		Teams: []Team{{Max: Resources{Cores: 30, GPUs: 8}}, {}},
	}
	for i := range 1 + rng.IntN(6) {
		job := randomJob(rng, randomSpec(rng, i))
		snapshot.Jobs = append(snapshot.Jobs, job)
		if job.Spec.GPUs > 0 {
			recordGPUWork(snapshot, &job)
		}
	}
	for i := range rng.IntN(9) {
		machine := randomMachine(rng, i, snapshot.Types)
		if busy && machine.Schedulable {
			addRandomTasks(rng, snapshot, &machine)
		}
		machine.Empty = len(machine.Tasks) == 0
		snapshot.Machines = append(snapshot.Machines, machine)
	}
	return snapshot
}

// randomSpec returns a random description of the i-th job. The order of the random draws
// must not change, since it determines the snapshot that belongs to a seed.
func randomSpec(rng *rand.Rand, i int) *protocol.Job {
	kinds := []protocol.JobKind{protocol.KindArray, protocol.KindArray, protocol.KindGang, protocol.KindService}
	spec := &protocol.Job{
		ID:      protocol.JobID(fmt.Sprint(i)),
		Kind:    kinds[rng.IntN(4)],
		Tasks:   1 + rng.IntN(9),
		Cores:   float64(1 + rng.IntN(4)),
		MemGB:   float64(1 + rng.IntN(16)),
		OneZone: rng.IntN(4) == 0,
		Spread:  rng.IntN(4) == 0,
		Spot:    rng.IntN(2) == 0,
		Image:   fmt.Sprint("img", rng.IntN(2)),
		ImageGB: 2,
	}
	if rng.IntN(4) == 0 {
		spec.GPUs = float64(1 + rng.IntN(4))
	}
	if rng.IntN(5) == 0 {
		spec.MachineTypes = []string{"big", "card"}
	}
	if rng.IntN(5) == 0 {
		spec.Zone = zones[rng.IntN(2)]
	}
	return spec
}

// randomJob returns a random state of a job. Of a gang, either all tasks wait or none.
func randomJob(rng *rand.Rand, spec *protocol.Job) Job {
	job := Job{
		ID:              spec.ID,
		Spec:            spec,
		Request:         RequestOf(spec),
		Priority:        protocol.PriorityLevel(rng.IntN(4)),
		WithinGuarantee: rng.IntN(2) == 0,
		EstimateS:       float64(rng.IntN(60)),
		DeadlineS:       float64(rng.IntN(400) - 100),
		Waiting:         rng.IntN(spec.Tasks + 1),
		Team:            rng.IntN(2),
		RunningByZone:   map[string]int{},
		BackingOff:      rng.IntN(8) == 0,
	}
	if spec.Kind == protocol.KindGang && job.Waiting > 0 {
		job.Waiting = spec.Tasks
	}
	return job
}

// recordGPUWork updates LowestGPUPriority and LargestGPURequest of the snapshot for a job
// that needs GPUs.
func recordGPUWork(snapshot *Snapshot, job *Job) {
	seen, request := snapshot.LargestGPURequest, job.Request
	snapshot.LowestGPUPriority = max(snapshot.LowestGPUPriority, job.Priority)
	snapshot.LargestGPURequest = Resources{max(seen.Cores, request.Cores), max(seen.GPUs, request.GPUs), max(seen.MemGB, request.MemGB)}
}

// randomMachine returns the i-th machine, without tasks.
func randomMachine(rng *rand.Rand, i int, types []MachineType) Machine {
	machine := Machine{
		ID:             fmt.Sprint("m", i),
		Type:           rng.IntN(3),
		Zone:           zones[rng.IntN(2)],
		Spot:           rng.IntN(3) == 0,
		IdleS:          float64(rng.IntN(90)),
		GPUIdleS:       float64(rng.IntN(90)),
		Images:         []string{"img0", "img1"}[:rng.IntN(2)],
		PendingFetchGB: float64(rng.IntN(3)) * 2.5,
	}
	machine.Free = types[machine.Type].Capacity
	machine.Schedulable = rng.IntN(4) > 0
	machine.Booting = !machine.Schedulable && rng.IntN(2) == 0
	return machine
}

// addRandomTasks picks some of the jobs that fit on the machine and places one task of
// each there.
func addRandomTasks(rng *rand.Rand, snapshot *Snapshot, machine *Machine) {
	for jobIndex := range snapshot.Jobs {
		job := &snapshot.Jobs[jobIndex]
		chosen := rng.IntN(2) == 0
		if !chosen || machine.Free.CapacityFor(job.Request) == 0 || len(job.Spec.MachineTypes) > 0 || job.Spec.Kind == protocol.KindGang {
			continue
		}
		machine.Free = machine.Free.Minus(job.Request, 1)
		machine.Tasks = append(machine.Tasks, RunningTasks{Job: jobIndex, Count: 1})
		job.RunningByZone[machine.Zone]++
		job.Running++
		snapshot.Teams[job.Team].Used = snapshot.Teams[job.Team].Used.Minus(job.Request, -1)
	}
}
