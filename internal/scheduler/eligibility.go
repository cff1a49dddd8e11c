package scheduler

import (
	"slices"

	"marblehaven/internal/protocol"
)

// avoidsGPUMachines tells for a job whether it must keep off machines with GPUs: work
// without need of GPUs would keep dear machines from the work that needs them.
func avoidsGPUMachines(snapshot *Snapshot, job *Job) bool {
	if job.Request.GPUs > 0 {
		return false
	}
	for i := range snapshot.Types {
		if snapshot.Types[i].Capacity.GPUs == 0 && TypeFits(&snapshot.Types[i], job.Spec) {
			return true
		}
	}
	return false
}

// TypeFits tells whether a task of the job can run on an empty machine of the
// type in some zone that the job allows.
func TypeFits(machineType *MachineType, job *protocol.Job) bool {
	return (len(job.MachineTypes) == 0 || slices.Contains(job.MachineTypes, machineType.Name)) &&
		(job.Zone == "" || slices.Contains(machineType.Zones, job.Zone)) && machineType.Capacity.CapacityFor(RequestOf(job)) > 0
}

// ZoneCapacity is how many more tasks of the job may be in the zone.
func ZoneCapacity(spec *protocol.Job, tasksByZone map[string]int, zone string) int {
	if spec.Zone != "" && spec.Zone != zone {
		return 0
	}
	if spec.OneZone {
		for other, running := range tasksByZone {
			if running > 0 && other != zone {
				return 0
			}
		}
	}
	if spec.Spread {
		// A task on a machine whose zone is not known yet, as after a takeover,
		// may be in any.
		return max(0, (spec.Tasks+1)/2-tasksByZone[zone]-tasksByZone[""])
	}
	return spec.Tasks
}

func (p *planner) allowed(machine *Machine, spec *protocol.Job) bool {
	return (len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, p.snapshot.Types[machine.Type].Name)) && (!machine.Spot || spec.Spot)
}

// eligible tells whether tasks of the job may be on the machine, where those it
// has are in the given zones and need a machine of their own.
func (p *planner) eligible(machine *Machine, spec *protocol.Job, tasksByZone map[string]int, avoidGPUs bool) bool {
	return p.allowed(machine, spec) && ZoneCapacity(spec, tasksByZone, machine.Zone) > 0 && !(avoidGPUs && p.snapshot.Types[machine.Type].Capacity.GPUs > 0)
}

// capacityOn is how many tasks of the job the machine takes now. Work that does not
// need GPUs gets on a machine with GPUs what its GPU work leaves over; where
// no GPU is in use it gets all, if it ranks below the work with GPUs and can
// be stopped for it. Only work that ends by itself may go there, and none once
// the machine is to be given back: it must not keep a dear machine.
func (p *planner) capacityOn(machine *Machine, job *Job, avoidGPUs bool) int {
	machineType := &p.snapshot.Types[machine.Type]
	if avoidGPUs && machineType.Capacity.GPUs > 0 {
		switch {
		case job.Spec.Kind == protocol.KindService:
			return 0
		case p.runsGPUWork(machine):
			if r := p.snapshot.GPURequest; r.GPUs > 0 && machine.Free.CapacityFor(r) > 0 {
				return machine.Free.Minus(r, 1).CapacityFor(job.Request)
			}
		case p.gpuWaits || job.Priority <= p.gpuPriority() || job.Spec.Kind == protocol.KindGang ||
			machine.GPUIdleS >= p.snapshot.idleTimeout(machine):
			return 0
		}
	}
	return machine.Free.CapacityFor(job.Request)
}

// gpuPriority is the rank that work on an idle machine with GPUs must be below.
// As long as no work with GPUs has been seen, as after a takeover, only the
// lowest rank is certain to be stopped for it.
func (p *planner) gpuPriority() protocol.PriorityLevel {
	if p.snapshot.GPUPriority < 0 {
		return LowestPriority - 1
	}
	return p.snapshot.GPUPriority
}

// runsGPUWork tells whether work with GPUs is on the machine.
func (p *planner) runsGPUWork(machine *Machine) bool {
	for _, r := range machine.Tasks {
		if p.snapshot.Jobs[r.Job].Request.GPUs > 0 {
			return true
		}
	}
	return false
}
