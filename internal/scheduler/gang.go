package scheduler

import (
	"maps"
	"slices"
)

// gangCapacity is what a zone has for a gang, in tasks.
type gangCapacity struct {
	free    int // on machines that are up
	booting int // on machines that are booting
	total   int // on all eligible machines if they were empty
	// canScaleOut tells whether machines can be added there.
	canScaleOut bool
}

// canHost tells whether all tasks can be in the zone sooner or later.
func (c *gangCapacity) canHost(tasks int) bool { return c.total >= tasks || c.canScaleOut }

// available is how many of the tasks find capacity that is free or booting.
func (c *gangCapacity) available(tasks int) int { return min(tasks, c.free+c.booting) }

// reserveForGang chooses the zone in which a gang gathers and counts the gang against
// the booting capacity there. It returns the zone and how many tasks find no capacity
// there, free or booting.
//
// A starved gang also gets what is free reserved: all of its machines must be free at
// once, and otherwise smaller jobs take every machine that falls free, so that the
// gang never starts.
func (p *planner) reserveForGang(job *pendingJob, tasks int) (zone zoneConstraint, unplaced int) {
	zone, found := p.chooseGangZone(job, tasks)
	if !found {
		return anyZone, tasks
	}
	return zone, p.reserveInZone(job, tasks, zone)
}

// chooseGangZone picks the zone with the most capacity free or booting, of equal ones
// that with the larger machines in total. No zone is found if there is none of either.
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

// allowsGangIn tells whether the job's own conditions allow a gang in the zone.
func allowsGangIn(job *pendingJob, zone zoneConstraint) bool {
	return zone == anyZone || ZoneCapacity(job.Spec, nil, string(zone)) > 0
}

// gangCapacities is what each zone has for the gang; all zones together under anyZone
// if it needs none.
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

// addMachine counts a machine in.
func (c *gangCapacity) addMachine(machine *Machine, machineType *MachineType, request Resources) {
	c.total += machineType.Capacity.CapacityFor(request)
	switch {
	case machine.Schedulable:
		c.free += machine.Free.CapacityFor(request)
	case machine.Booting:
		c.booting += machine.Free.CapacityFor(request)
	}
}

// eligibleForGang tells whether a gang may be on the machine. The gang is placed as a
// whole, so tasks that its job has elsewhere are left out.
func (p *planner) eligibleForGang(machine *Machine, job *pendingJob) bool {
	return p.eligible(machine, job, nil)
}

// canScaleOutIn tells whether machines of the type may be requested in the zone.
func (p *planner) canScaleOutIn(job *pendingJob, typeIndex int, zone string) bool {
	return p.snapshot.mayRequest(CapacityPool{typeIndex, zone, false}, job.Spec) ||
		p.snapshot.mayRequest(CapacityPool{typeIndex, zone, true}, job.Spec)
}

// reserveInZone counts the gang against the machines of the zone and returns how many
// of its tasks are left.
func (p *planner) reserveInZone(job *pendingJob, tasks int, zone zoneConstraint) int {
	isStarved := job.StarvedS > 0
	left := tasks
	for i := range p.pool.machines {
		if left == 0 {
			break
		}
		machine := &p.pool.machines[i]
		if zoneConstraintFor(job.Job, machine.Zone) != zone || !machine.acceptsTasks() || !p.eligibleForGang(machine, job) {
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
