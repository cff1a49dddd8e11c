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
func (p *planner) scaleOut(jobIndex, tasks int, tasksByZone map[string]int, avoidGPUs bool, gangZone string) {
	job := &p.snapshot.Jobs[jobIndex]
	spec := job.Spec
	for tasks > 0 {
		best, bestCost, bestTasksPerMachine := CapacityPool{}, math.Inf(1), 0
		for typeIndex := range p.snapshot.Types {
			machineType := &p.snapshot.Types[typeIndex]
			if !TypeFits(machineType, spec) || (avoidGPUs && machineType.Capacity.GPUs > 0) {
				continue
			}
			tasksPerMachine := machineType.Capacity.CapacityFor(job.Request)
			for _, zone := range machineType.Zones {
				zoneTasks := min(tasks, ZoneCapacity(spec, tasksByZone, zone))
				if zoneTasks == 0 || (gangZone != "" && zone != gangZone) {
					continue
				}
				for _, spot := range []bool{true, false} {
					pool := CapacityPool{typeIndex, zone, spot}
					if (spot && !spec.Spot) || p.snapshot.ExhaustedPools[pool] {
						continue
					}
					cost := machineType.HourlyPrice(spot) * math.Ceil(float64(zoneTasks)/float64(tasksPerMachine)) / float64(zoneTasks)
					if cost < bestCost-epsilon {
						best, bestCost, bestTasksPerMachine = pool, cost, tasksPerMachine
					}
				}
			}
		}
		if bestTasksPerMachine == 0 {
			return
		}
		zoneTasks := min(tasks, ZoneCapacity(spec, tasksByZone, best.Zone))
		count := (zoneTasks + bestTasksPerMachine - 1) / bestTasksPerMachine
		for left := zoneTasks; left > 0; left -= bestTasksPerMachine {
			p.withCapacity = append(p.withCapacity, len(p.pool))
			p.pool = append(p.pool, Machine{Type: best.Type, Zone: best.Zone, Spot: best.Spot, Booting: true,
				Free: p.snapshot.Types[best.Type].Capacity.Minus(job.Request, min(left, bestTasksPerMachine))})
		}
		tasksByZone[best.Zone] += zoneTasks
		tasks -= zoneTasks
		if job.Priority == 0 {
			p.productionScaleOuts[best] += count
		}
		p.addScaleOut(best, count)
	}
}

func (p *planner) addScaleOut(pool CapacityPool, count int) {
	for i := range p.plan.ScaleOuts {
		if p.plan.ScaleOuts[i].CapacityPool == pool {
			p.plan.ScaleOuts[i].Count += count
			return
		}
	}
	p.plan.ScaleOuts = append(p.plan.ScaleOuts, ScaleOut{pool, count})
}
