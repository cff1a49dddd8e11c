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
func (p *planner) reserveForGang(jobIndex, n int, keepOff bool) (zone string, missing int) {
	job := &p.snapshot.Jobs[jobIndex]
	spec := job.Spec
	free, comes, whole := map[string]int{}, map[string]int{}, map[string]int{}
	key := func(machine *Machine) string {
		if spec.OneZone {
			return machine.Zone
		}
		return anyZone
	}
	for i := range p.pool {
		machine := &p.pool[i]
		if !p.eligible(machine, spec, nil, keepOff) {
			continue
		}
		whole[key(machine)] += p.snapshot.Types[machine.Type].Capacity.CapacityFor(job.Request)
		switch {
		case machine.Schedulable:
			free[key(machine)] += machine.Free.CapacityFor(job.Request)
		case machine.Booting:
			comes[key(machine)] += machine.Free.CapacityFor(job.Request)
		}
	}
	// Where the machines are too few for all of it, there must be more to rent.
	can := map[string]bool{}
	for z, k := range whole {
		can[z] = k >= n
	}
	for ti := range p.snapshot.Types {
		machineType := &p.snapshot.Types[ti]
		if !TypeFits(machineType, spec) || (keepOff && machineType.Capacity.GPUs > 0) {
			continue
		}
		for _, z := range machineType.Zones {
			if !p.snapshot.ExhaustedPools[CapacityPool{ti, z, false}] || (spec.Spot && !p.snapshot.ExhaustedPools[CapacityPool{ti, z, true}]) {
				can[key(&Machine{Zone: z})] = true
			}
		}
	}
	best := -1
	for _, z := range slices.Sorted(maps.Keys(can)) {
		if got := min(n, free[z]+comes[z]); can[z] && (z == anyZone || ZoneCapacity(spec, nil, z) > 0) && (got > best || (got == best && whole[z] > whole[zone])) {
			zone, best = z, got
		}
	}
	if best <= 0 {
		return "", n
	}
	keep := job.StarvedS > 0
	left := n
	for i := range p.pool {
		machine := &p.pool[i]
		if left == 0 {
			break
		}
		if key(machine) != zone || !(machine.Schedulable || machine.Booting) || !p.eligible(machine, spec, nil, keepOff) {
			continue
		}
		k := min(left, machine.Free.CapacityFor(job.Request))
		if machine.Booting || keep {
			machine.Free = machine.Free.Minus(job.Request, k)
		}
		if k > 0 && machine.Schedulable && keep {
			p.reserved = append(p.reserved, i)
		}
		left -= k
	}
	return zone, left
}
