package scheduler

import "math"

// scaleIn returns the machines that have been idle for long enough.
func (p *planner) scaleIn() {
	inUse := make([]bool, len(p.snapshot.Machines))
	for _, start := range p.plan.Starts {
		inUse[start.Machine] = true
	}
	for _, i := range p.reserved {
		if i < len(inUse) {
			inUse[i] = true
		}
	}
	for i := range p.snapshot.Machines {
		machine := &p.snapshot.Machines[i]
		idle := machine.IdleS
		if p.snapshot.Types[machine.Type].Capacity.GPUs > 0 {
			idle = machine.GPUIdleS
		}
		if machine.Schedulable && machine.Empty && !inUse[i] && idle >= p.snapshot.idleTimeout(machine) {
			p.plan.ScaleIns = append(p.plan.ScaleIns, i)
		}
	}
}

// idleTimeout is how long a machine is kept idle: a number of boots, which is what
// having it again would take, the fewer the dearer it is against the cheapest
// way to have its type.
func (s *Snapshot) idleTimeout(machine *Machine) float64 {
	machineType := &s.Types[machine.Type]
	price := machineType.HourlyPrice(machine.Spot)
	lowestPrice := math.Min(price, machineType.Price)
	if machineType.SpotPrice > 0 {
		lowestPrice = math.Min(lowestPrice, machineType.SpotPrice)
	}
	return s.IdleBootFactor * machineType.BootS * lowestPrice / price
}
