package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// gpuWaitS is when the held machines are likely to have room for n tasks of a
// job with GPUs, in the zone given or, if it needs one, in the best; those
// machines then count as taken for as long as the job runs.
func (p *planner) gpuWaitS(j *Job, n int, in string) float64 {
	if p.gpuFreeInS == nil {
		p.gpuFreeInS = make([]float64, len(p.snapshot.Machines))
		for i := range p.snapshot.Machines {
			for _, r := range p.snapshot.Machines[i].Tasks {
				p.gpuFreeInS[i] = math.Max(p.gpuFreeInS[i], r.RemainingS)
			}
		}
	}
	byZone := map[string][]int{}
	for i := range p.snapshot.Machines {
		m := &p.snapshot.Machines[i]
		if p.snapshot.Types[m.Type].Capacity.CapacityFor(j.Request) == 0 || !(m.Schedulable || len(m.Tasks) > 0) || !p.allowed(m, j.Spec) || (in != "" && m.Zone != in) {
			continue
		}
		z := anyZone
		if j.Spec.OneZone {
			z = m.Zone
		}
		byZone[z] = append(byZone[z], i)
	}
	best, wait := []int(nil), math.Inf(1)
	for _, z := range slices.Sorted(maps.Keys(byZone)) {
		idx := byZone[z]
		slices.SortStableFunc(idx, func(a, b int) int { return cmp.Compare(p.gpuFreeInS[a], p.gpuFreeInS[b]) })
		left := n
		for k, i := range idx {
			if left -= p.snapshot.Types[p.snapshot.Machines[i].Type].Capacity.CapacityFor(j.Request); left <= 0 {
				if p.gpuFreeInS[i] < wait {
					best, wait = idx[:k+1], p.gpuFreeInS[i]
				}
				break
			}
		}
	}
	for _, i := range best {
		p.gpuFreeInS[i] += j.EstimateS
	}
	return wait
}

// anyZone is the zone of a gang without need for one.
const anyZone = ""

// reserveForGang looks for the zone in which the most room for a gang is free or coming,
// and returns it with the number of tasks that find none there. What is coming
// is counted against the gang. If the gang has waited too long, what is free and
// coming is kept for it: otherwise smaller ones take every machine that falls
// free, and it never starts (all its machines must be free at once).
func (p *planner) reserveForGang(ji, n int, keepOff bool) (zone string, missing int) {
	j := &p.snapshot.Jobs[ji]
	d := j.Spec
	free, comes, whole := map[string]int{}, map[string]int{}, map[string]int{}
	key := func(m *Machine) string {
		if d.OneZone {
			return m.Zone
		}
		return anyZone
	}
	for i := range p.pool {
		m := &p.pool[i]
		if !p.eligible(m, d, nil, keepOff) {
			continue
		}
		whole[key(m)] += p.snapshot.Types[m.Type].Capacity.CapacityFor(j.Request)
		switch {
		case m.Schedulable:
			free[key(m)] += m.Free.CapacityFor(j.Request)
		case m.Booting:
			comes[key(m)] += m.Free.CapacityFor(j.Request)
		}
	}
	// Where the machines are too few for all of it, there must be more to rent.
	can := map[string]bool{}
	for z, k := range whole {
		can[z] = k >= n
	}
	for ti := range p.snapshot.Types {
		t := &p.snapshot.Types[ti]
		if !TypeFits(t, d) || (keepOff && t.Capacity.GPUs > 0) {
			continue
		}
		for _, z := range t.Zones {
			if !p.snapshot.ExhaustedPools[CapacityPool{ti, z, false}] || (d.Spot && !p.snapshot.ExhaustedPools[CapacityPool{ti, z, true}]) {
				can[key(&Machine{Zone: z})] = true
			}
		}
	}
	best := -1
	for _, z := range slices.Sorted(maps.Keys(can)) {
		if got := min(n, free[z]+comes[z]); can[z] && (z == anyZone || ZoneCapacity(d, nil, z) > 0) && (got > best || (got == best && whole[z] > whole[zone])) {
			zone, best = z, got
		}
	}
	if best <= 0 {
		return "", n
	}
	keep := j.StarvedS > 0
	left := n
	for i := range p.pool {
		m := &p.pool[i]
		if left == 0 {
			break
		}
		if key(m) != zone || !(m.Schedulable || m.Booting) || !p.eligible(m, d, nil, keepOff) {
			continue
		}
		k := min(left, m.Free.CapacityFor(j.Request))
		if m.Booting || keep {
			m.Free = m.Free.Minus(j.Request, k)
		}
		if k > 0 && m.Schedulable && keep {
			p.reserved = append(p.reserved, i)
		}
		left -= k
	}
	return zone, left
}
