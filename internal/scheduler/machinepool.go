package scheduler

import (
	"math"
	"slices"
)

// indexMachines finds the machines that matter to this plan.
func (p *planner) indexMachines() {
	least := Resources{math.Inf(1), math.Inf(1), math.Inf(1)}
	for i := range p.snapshot.Jobs {
		if job := &p.snapshot.Jobs[i]; job.Waiting > 0 && !job.BackingOff {
			least = Resources{math.Min(least.Cores, job.Request.Cores), math.Min(least.GPUs, job.Request.GPUs), math.Min(least.MemGB, job.Request.MemGB)}
		}
	}
	for i := range p.pool {
		machine := &p.pool[i]
		if (machine.Schedulable || machine.Booting) && machine.Free.Cores >= least.Cores-epsilon && machine.Free.GPUs >= least.GPUs-epsilon && machine.Free.MemGB >= least.MemGB-epsilon {
			p.withCapacity = append(p.withCapacity, i)
		}
		if machine.Schedulable && slices.ContainsFunc(machine.Tasks, func(r RunningTasks) bool { return p.snapshot.Jobs[r.Job].Priority > 0 }) {
			p.preemptible = append(p.preemptible, i)
		}
	}
}
