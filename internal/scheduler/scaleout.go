package scheduler

import "math"

// addHeadroom rents half as many machines again for production: boots vary by more
// than its aims allow, and the images of a first fleet come sooner over more machines.
func (p *planner) addHeadroom() {
	for i := range p.plan.ScaleOuts {
		p.plan.ScaleOuts[i].Count += p.productionScaleOuts[p.plan.ScaleOuts[i].CapacityPool] / 2
	}
}

// scaleOut asks for the cheapest offers that hold n tasks (P2), sized to them; what
// a rented machine has left over counts as coming room for the jobs behind.
// With in, only there: the rest of a gang is to come to where it has room.
func (p *planner) scaleOut(jobIndex, n int, zones map[string]int, keepOff bool, in string) {
	job := &p.snapshot.Jobs[jobIndex]
	spec := job.Spec
	for n > 0 {
		best, bestCost, bestSlots := CapacityPool{}, math.Inf(1), 0
		for ti := range p.snapshot.Types {
			machineType := &p.snapshot.Types[ti]
			if !TypeFits(machineType, spec) || (keepOff && machineType.Capacity.GPUs > 0) {
				continue
			}
			slots := machineType.Capacity.CapacityFor(job.Request)
			for _, z := range machineType.Zones {
				k := min(n, ZoneCapacity(spec, zones, z))
				if k == 0 || (in != "" && z != in) {
					continue
				}
				for _, spot := range []bool{true, false} {
					o := CapacityPool{ti, z, spot}
					if (spot && !spec.Spot) || p.snapshot.ExhaustedPools[o] {
						continue
					}
					cost := machineType.HourlyPrice(spot) * math.Ceil(float64(k)/float64(slots)) / float64(k)
					if cost < bestCost-eps {
						best, bestCost, bestSlots = o, cost, slots
					}
				}
			}
		}
		if bestSlots == 0 {
			return
		}
		k := min(n, ZoneCapacity(spec, zones, best.Zone))
		count := (k + bestSlots - 1) / bestSlots
		for left := k; left > 0; left -= bestSlots {
			p.withCapacity = append(p.withCapacity, len(p.pool))
			p.pool = append(p.pool, Machine{Type: best.Type, Zone: best.Zone, Spot: best.Spot, Booting: true,
				Free: p.snapshot.Types[best.Type].Capacity.Minus(job.Request, min(left, bestSlots))})
		}
		zones[best.Zone] += k
		n -= k
		if job.Priority == 0 {
			p.productionScaleOuts[best] += count
		}
		p.addScaleOut(best, count)
	}
}

func (p *planner) addScaleOut(o CapacityPool, count int) {
	for i := range p.plan.ScaleOuts {
		if p.plan.ScaleOuts[i].CapacityPool == o {
			p.plan.ScaleOuts[i].Count += count
			return
		}
	}
	p.plan.ScaleOuts = append(p.plan.ScaleOuts, ScaleOut{o, count})
}
