package scheduler

import (
	"maps"
	"slices"
)

// gangCapacity is the capacity of a zone for the tasks of a gang, in tasks.
type gangCapacity struct {
	free    int // on machines that are up
	booting int // on machines that are booting
	total   int // on all eligible machines if they were empty
	// canScaleOut is set if machines can be added in the zone.
	canScaleOut bool
}

// canHost reports whether all tasks can run in the zone once its machines are free or
// more are added.
func (c *gangCapacity) canHost(tasks int) bool { return c.total >= tasks || c.canScaleOut }

// available returns how many of the tasks fit in the free and booting capacity.
func (c *gangCapacity) available(tasks int) int { return min(tasks, c.free+c.booting) }

// reserveForGang chooses the zone in which a gang waits for capacity, and counts the gang
// against the booting capacity there. It returns the zone and the number of tasks for
// which the zone has neither free nor booting capacity.
//
// For a starved gang, free capacity is reserved as well. All machines of a gang must be
// free at once; without the reservation, smaller jobs take each machine as it becomes
// free, and the gang never starts.
func (p *planner) reserveForGang(job *pendingJob, tasks int) (zone zoneConstraint, unplaced int) {
	zone, found := p.chooseGangZone(job, tasks)
	if !found {
		return anyZone, tasks
	}
	return zone, p.reserveInZone(job, tasks, zone)
}

// chooseGangZone returns the zone with the most free and booting capacity for the gang,
// and among equal ones the zone with the larger total capacity. found is false if no zone
// that can hold the whole gang has free or booting capacity.
func (p *planner) chooseGangZone(job *pendingJob, tasks int) (best zoneConstraint, found bool) {
	capacities := p.gangCapacities(job)
	bestAvailable := 0
	for _, zone := range slices.Sorted(maps.Keys(capacities)) {
		capacity := capacities[zone]
		if !capacity.canHost(tasks) || !allowsGangIn(job, zone) {
			continue
		}
		available := capacity.available(tasks)
		if available > bestAvailable || (found && available == bestAvailable && capacity.total > capacities[best].total) {
			best, bestAvailable, found = zone, available, true
		}
	}
	return best, found
}

// allowsGangIn reports whether the job's own zone conditions allow a gang in the zone.
func allowsGangIn(job *pendingJob, zone zoneConstraint) bool {
	return zone == anyZone || ZoneCapacity(job.Spec, nil, string(zone)) > 0
}

// gangCapacities returns the capacity of each zone for the gang. If the gang does not
// need a single zone, the capacity of all zones is summed up under anyZone.
func (p *planner) gangCapacities(job *pendingJob) map[zoneConstraint]*gangCapacity {
	capacities := map[zoneConstraint]*gangCapacity{}
	capacityIn := func(zone string) *gangCapacity {
		key := zoneConstraintFor(job.Job, zone)
		if capacities[key] == nil {
			capacities[key] = &gangCapacity{}
		}
		return capacities[key]
	}
	for i := range p.pool.machines {
		if machine := &p.pool.machines[i]; p.eligibleForGang(machine, job) {
			capacityIn(machine.Zone).addMachine(machine, p.snapshot.typeOf(machine), job.Request)
		}
	}
	for typeIndex := range p.snapshot.Types {
		machineType := &p.snapshot.Types[typeIndex]
		if !job.mayAdd(machineType) {
			continue
		}
		for _, zone := range machineType.Zones {
			if p.canScaleOutIn(job, typeIndex, zone) {
				capacityIn(zone).canScaleOut = true
			}
		}
	}
	return capacities
}

// addMachine adds the machine's capacity for tasks with the request.
func (c *gangCapacity) addMachine(machine *Machine, machineType *MachineType, request Resources) {
	c.total += machineType.Capacity.CapacityFor(request)
	switch {
	case machine.Schedulable:
		c.free += machine.Free.CapacityFor(request)
	case machine.Booting:
		c.booting += machine.Free.CapacityFor(request)
	}
}

// eligibleForGang reports whether tasks of a gang may run on the machine. Tasks that the
// job has elsewhere do not count, since a gang is placed as a whole.
func (p *planner) eligibleForGang(machine *Machine, job *pendingJob) bool {
	return p.eligible(machine, job, nil)
}

// canScaleOutIn reports whether machines of the type may be requested for the job in the
// zone, either as spot instances or not.
func (p *planner) canScaleOutIn(job *pendingJob, typeIndex int, zone string) bool {
	return p.snapshot.mayRequest(CapacityPool{typeIndex, zone, false}, job.Spec) ||
		p.snapshot.mayRequest(CapacityPool{typeIndex, zone, true}, job.Spec)
}

// reserveInZone counts the gang against the machines of the zone and returns how many of
// its tasks find no capacity. Capacity is taken from booting machines, and for a starved
// gang also from machines that are up. Scale in does not return those.
func (p *planner) reserveInZone(job *pendingJob, tasks int, zone zoneConstraint) int {
	isStarved := job.StarvedS > 0
	left := tasks
	for i := range p.pool.machines {
		if left == 0 {
			break
		}
		machine := &p.pool.machines[i]
		if zoneConstraintFor(job.Job, machine.Zone) != zone || !machine.schedulableOrBooting() || !p.eligibleForGang(machine, job) {
			continue
		}
		count := min(left, machine.Free.CapacityFor(job.Request))
		if machine.Booting || isStarved {
			machine.Free = machine.Free.Minus(job.Request, count)
		}
		if count > 0 && machine.Schedulable && isStarved {
			p.reservedMachines = append(p.reservedMachines, i)
		}
		left -= count
	}
	return left
}
