package scheduler

import (
	"maps"
	"slices"
)

// anyZone is the zone of a gang without need for one.
const anyZone = ""

// reserveForGang looks for the zone in which the most room for a gang is free or coming,
// and returns it with the number of tasks that find none there. What is coming
// is counted against the gang. If the gang has waited too long, what is free and
// coming is kept for it: otherwise smaller ones take every machine that falls
// free, and it never starts (all its machines must be free at once).
func (p *planner) reserveForGang(jobIndex, tasks int, avoidGPUs bool) (zone string, unplaced int) {
	job := &p.snapshot.Jobs[jobIndex]
	spec := job.Spec
	free, booting, total := map[string]int{}, map[string]int{}, map[string]int{}
	zoneOf := func(machine *Machine) string {
		if spec.OneZone {
			return machine.Zone
		}
		return anyZone
	}
	for i := range p.pool {
		machine := &p.pool[i]
		if !p.eligible(machine, spec, nil, avoidGPUs) {
			continue
		}
		total[zoneOf(machine)] += p.snapshot.Types[machine.Type].Capacity.CapacityFor(job.Request)
		switch {
		case machine.Schedulable:
			free[zoneOf(machine)] += machine.Free.CapacityFor(job.Request)
		case machine.Booting:
			booting[zoneOf(machine)] += machine.Free.CapacityFor(job.Request)
		}
	}
	// Where the machines are too few for all of it, there must be more to rent.
	mayHost := map[string]bool{}
	for candidateZone, count := range total {
		mayHost[candidateZone] = count >= tasks
	}
	for typeIndex := range p.snapshot.Types {
		machineType := &p.snapshot.Types[typeIndex]
		if !TypeFits(machineType, spec) || (avoidGPUs && machineType.Capacity.GPUs > 0) {
			continue
		}
		for _, candidateZone := range machineType.Zones {
			if !p.snapshot.ExhaustedPools[CapacityPool{typeIndex, candidateZone, false}] || (spec.Spot && !p.snapshot.ExhaustedPools[CapacityPool{typeIndex, candidateZone, true}]) {
				mayHost[zoneOf(&Machine{Zone: candidateZone})] = true
			}
		}
	}
	bestCapacity := -1
	for _, candidateZone := range slices.Sorted(maps.Keys(mayHost)) {
		if capacity := min(tasks, free[candidateZone]+booting[candidateZone]); mayHost[candidateZone] && (candidateZone == anyZone || ZoneCapacity(spec, nil, candidateZone) > 0) && (capacity > bestCapacity || (capacity == bestCapacity && total[candidateZone] > total[zone])) {
			zone, bestCapacity = candidateZone, capacity
		}
	}
	if bestCapacity <= 0 {
		return "", tasks
	}
	starved := job.StarvedS > 0
	missing := tasks
	for i := range p.pool {
		machine := &p.pool[i]
		if missing == 0 {
			break
		}
		if zoneOf(machine) != zone || !(machine.Schedulable || machine.Booting) || !p.eligible(machine, spec, nil, avoidGPUs) {
			continue
		}
		count := min(missing, machine.Free.CapacityFor(job.Request))
		if machine.Booting || starved {
			machine.Free = machine.Free.Minus(job.Request, count)
		}
		if count > 0 && machine.Schedulable && starved {
			p.reserved = append(p.reserved, i)
		}
		missing -= count
	}
	return zone, missing
}
