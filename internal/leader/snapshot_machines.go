package leader

import (
	"slices"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/scheduler"
	"marblehaven/internal/tuning"
)

func (b *snapshotBuilder) addMachines() {
	sorted := b.leader.machines.sorted
	b.machines = make([]*cluster.Machine, 0, len(sorted))
	b.snapshot.Machines = make([]scheduler.Machine, 0, len(sorted))
	b.running = make([]scheduler.RunningTasks, 0, b.leader.cycle.runningLen+len(sorted))
	for _, machine := range sorted {
		if typeIndex, ok := b.leader.catalog.index[machine.Type]; ok {
			b.addMachine(machine, typeIndex)
		}
	}
	b.leader.cycle.runningLen = len(b.running)
}

func (b *snapshotBuilder) addMachine(machine *cluster.Machine, typeIndex int) {
	machineType := &b.snapshot.Types[typeIndex]
	entry := scheduler.Machine{
		ID:          machine.ID,
		Type:        typeIndex,
		Zone:        machine.Zone,
		Spot:        machine.Spot,
		Free:        machineType.Capacity,
		Schedulable: machine.Schedulable(b.now, b.leader.maxSchedulableSilence()),
		Empty:       len(machine.Placements) == 0 && len(machine.Outbox) == 0,
		IdleS:       b.now.Sub(machine.IdleSince).Seconds(),
		GPUIdleS:    b.now.Sub(machine.GPUIdleSince).Seconds(),
	}
	bootLimit := seconds(tuning.BootExpectedFactor * machineType.BootS)
	entry.Booting = !machine.Up && !machine.Deprovisioning && b.now.Sub(machine.ProvisionedAt) < bootLimit
	if machine.Up && !entry.Schedulable && !machine.Deprovisioning && machine.PreemptionAt.IsZero() {
		b.notSchedulable++
	}
	if !machine.Deprovisioning {
		b.machinesByGPU[machineType.Capacity.GPUs > 0]++
		b.zones = max(b.zones, len(machineType.Zones))
	}
	b.addRunning(&entry, machine, machineType)
	entry.Images = machine.Images()
	b.snapshot.Machines = append(b.snapshot.Machines, entry)
	b.machines = append(b.machines, machine)
}

// addRunning subtracts the placements on a machine from its free capacity, and adds them
// up by job.
func (b *snapshotBuilder) addRunning(entry *scheduler.Machine, machine *cluster.Machine, machineType *scheduler.MachineType) {
	first := len(b.running)
	var fetching []string
	for key, placement := range machine.Placements {
		jobIndex, ok := b.jobIndex[key.Job]
		if !ok {
			entry.Schedulable = false
			continue
		}
		job := &b.snapshot.Jobs[jobIndex]
		entry.Free = entry.Free.Minus(job.Request, 1)
		i := slices.IndexFunc(b.running[first:], func(r scheduler.RunningTasks) bool { return r.Job == jobIndex })
		if i < 0 {
			i = len(b.running) - first
			b.running = append(b.running, scheduler.RunningTasks{Job: jobIndex})
		}
		b.addPlacement(&b.running[first+i], placement, job)
		isFetching := placement.State == "" || placement.State == protocol.TaskFetching
		if isFetching && !slices.Contains(fetching, job.Spec.Image) {
			fetching = append(fetching, job.Spec.Image)
			fetchedGB := machineType.FetchGBps * b.now.Sub(placement.Since).Seconds()
			entry.PendingFetchGB += max(0, job.Spec.ImageGB-fetchedGB)
		}
	}
	entry.Tasks = b.running[first:len(b.running):len(b.running)]
}

func (b *snapshotBuilder) addPlacement(running *scheduler.RunningTasks, placement *cluster.Placement, job *scheduler.Job) {
	running.Count++
	if placement.Stopping {
		running.Stopping++
	}
	running.RemainingS = max(running.RemainingS, job.EstimateS)
	if placement.State != protocol.TaskRunning {
		return
	}
	ranS := b.now.Sub(placement.Since).Seconds()
	running.RemainingS = max(0, job.EstimateS-ranS)
	lostS := ranS
	if interval := job.Spec.CheckpointIntervalS; interval > 0 {
		lostS = min(lostS, interval)
	}
	running.LostWorkS += lostS
}
