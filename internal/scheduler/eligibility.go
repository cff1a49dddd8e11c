package scheduler

import (
	"slices"

	"marblehaven/internal/protocol"
)

// TypeFits reports whether a task of the job can run on an empty machine of the type in
// at least one zone that the job allows.
func TypeFits(machineType *MachineType, job *protocol.Job) bool {
	return allowsType(job, machineType) &&
		(job.Zone == "" || slices.Contains(machineType.Zones, job.Zone)) &&
		machineType.Capacity.fits(RequestOf(job))
}

// allowsType reports whether the job's list of machine types allows the type. An empty
// list allows all types.
func allowsType(spec *protocol.Job, machineType *MachineType) bool {
	return len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, machineType.Name)
}

// allowsMachine reports whether the job allows the machine's type and purchase option.
// Only jobs that accept spot instances are placed on spot instances.
func (s *Snapshot) allowsMachine(spec *protocol.Job, machine *Machine) bool {
	return allowsType(spec, s.typeOf(machine)) && (!machine.Spot || spec.Spot)
}

// ZoneCapacity returns how many more tasks of the job may run in the zone. tasksByZone
// counts the tasks that the job already has in each zone.
func ZoneCapacity(spec *protocol.Job, tasksByZone map[string]int, zone string) int {
	if spec.Zone != "" && spec.Zone != zone {
		return 0
	}
	if spec.OneZone && hasTasksOutside(tasksByZone, zone) {
		return 0
	}
	if spec.Spread {
		// At most half of the tasks are allowed in one zone. A task on a machine of
		// unknown zone could be in any zone, so the task counts against each of them.
		half := (spec.Tasks + 1) / 2
		return max(0, half-tasksByZone[zone]-tasksByZone[unknownZone])
	}
	return spec.Tasks
}

func hasTasksOutside(tasksByZone map[string]int, zone string) bool {
	for other, tasks := range tasksByZone {
		if tasks > 0 && other != zone {
			return true
		}
	}
	return false
}

// eligible reports whether tasks of the job may run on the machine, given how many the
// job has in each zone. Free capacity is not considered.
func (p *planner) eligible(machine *Machine, job *pendingJob, tasksByZone map[string]int) bool {
	return p.snapshot.allowsMachine(job.Spec, machine) &&
		ZoneCapacity(job.Spec, tasksByZone, machine.Zone) > 0 &&
		!job.avoidsType(p.snapshot.typeOf(machine))
}

// capacityOn returns how many tasks of the job the machine can take now.
func (p *planner) capacityOn(machine *Machine, job *pendingJob) int {
	if job.avoidsType(p.snapshot.typeOf(machine)) {
		return p.gpuMachinePolicy.capacityForNonGPUWork(machine, job)
	}
	return machine.Free.CapacityFor(job.Request)
}
