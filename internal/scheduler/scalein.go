package scheduler

import "math"

// scaleIn plans the return of machines that have been idle for too long, except those
// that the plan uses or reserves for a gang.
func (p *planner) scaleIn() {
	inUse := make([]bool, len(p.pool.machines))
	for _, start := range p.plan.Starts {
		inUse[start.Machine] = true
	}
	for _, i := range p.reservedMachines {
		inUse[i] = true
	}
	for i := range p.snapshot.Machines {
		machine := &p.snapshot.Machines[i]
		if machine.Schedulable && machine.Empty && !inUse[i] && p.snapshot.idleTooLong(machine) {
			p.plan.ScaleIns = append(p.plan.ScaleIns, i)
		}
	}
}

// idleTooLong reports whether the machine has been idle for its idle timeout. A machine
// with GPUs counts as idle while none of its GPUs is in use, even if other work runs
// there.
func (s *Snapshot) idleTooLong(machine *Machine) bool {
	idleS := machine.IdleS
	if s.typeOf(machine).Capacity.GPUs > 0 {
		idleS = machine.GPUIdleS
	}
	return idleS >= s.idleTimeout(machine)
}

// idleTimeout returns how long an idle machine is kept, in seconds: a multiple of the
// boot time, which is how long it takes to get the machine back. If the machine costs
// more than the cheapest purchase option of its type, the timeout is shorter in
// proportion.
func (s *Snapshot) idleTimeout(machine *Machine) float64 {
	machineType := s.typeOf(machine)
	price := machineType.HourlyPrice(machine.Spot)
	lowestPrice := math.Min(price, machineType.Price)
	if machineType.SpotPrice > 0 {
		lowestPrice = math.Min(lowestPrice, machineType.SpotPrice)
	}
	return s.IdleTimeoutBootFactor * machineType.BootS * lowestPrice / price
}
