package scheduler

import (
	"slices"

	"marblehaven/internal/protocol"
)

// TypeFits tells whether a task of the job can run on an empty machine of the type in
// some zone that the job allows.
func TypeFits(machineType *MachineType, job *protocol.Job) bool {
	return allowsType(job, machineType) &&
		(job.Zone == "" || slices.Contains(machineType.Zones, job.Zone)) &&
		machineType.Capacity.fits(RequestOf(job))
}

// allowsType tells whether the job's list of machine types allows the type. An empty
// list allows all.
func allowsType(spec *protocol.Job, machineType *MachineType) bool {
	return len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, machineType.Name)
}

// allowsMachine tells whether the job may be on the machine by its type and purchase
// option: only jobs that accept spot instances are put on one.
func (s *Snapshot) allowsMachine(spec *protocol.Job, machine *Machine) bool {
	return allowsType(spec, s.typeOf(machine)) && (!machine.Spot || spec.Spot)
}

// ZoneCapacity is how many more tasks of the job may be in the zone, where
// tasksByZone counts those that it has.
func ZoneCapacity(spec *protocol.Job, tasksByZone map[string]int, zone string) int {
	if spec.Zone != "" && spec.Zone != zone {
		return 0
	}
	if spec.OneZone && hasTasksOutside(tasksByZone, zone) {
		return 0
	}
	if spec.Spread {
		// At most half of the tasks may be in one zone. A task on a machine whose
		// zone is not known may be in any.
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

// eligible tells whether tasks of the job may be on the machine beside those that it
// has by zone, whatever is free there.
func (p *planner) eligible(machine *Machine, job *pendingJob, tasksByZone map[string]int) bool {
	return p.snapshot.allowsMachine(job.Spec, machine) &&
		ZoneCapacity(job.Spec, tasksByZone, machine.Zone) > 0 &&
		!job.avoidsType(p.snapshot.typeOf(machine))
}

// capacityOn is how many tasks of the job the machine takes now.
func (p *planner) capacityOn(machine *Machine, job *pendingJob) int {
	if job.avoidsType(p.snapshot.typeOf(machine)) {
		return p.gpuPolicy.capacityForNonGPUWork(machine, job)
	}
	return machine.Free.CapacityFor(job.Request)
}
