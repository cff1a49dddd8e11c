package scheduler

import (
	"math"
	"slices"
)

// machinePool is the machines of the snapshot with what the plan has put on them, and
// behind them the machines that the plan adds. The indices keep searches short: most
// machines of a busy cluster are full.
type machinePool struct {
	machines []Machine
	// withCapacity lists the machines on which some waiting task may fit.
	withCapacity []int
	// preemptible lists the machines with tasks below production.
	preemptible []int
}

func newMachinePool(snapshot *Snapshot) *machinePool {
	pool := &machinePool{machines: slices.Clone(snapshot.Machines)}
	least := leastRequest(snapshot.Jobs)
	belowProduction := func(running RunningTasks) bool { return !snapshot.Jobs[running.Job].isProduction() }
	for i := range pool.machines {
		machine := &pool.machines[i]
		if machine.acceptsTasks() && machine.Free.covers(least) {
			pool.withCapacity = append(pool.withCapacity, i)
		}
		if machine.Schedulable && slices.ContainsFunc(machine.Tasks, belowProduction) {
			pool.preemptible = append(pool.preemptible, i)
		}
	}
	return pool
}

// leastRequest is the least of each resource that a task of any waiting job requests.
// A machine with less of one resource fits none of them.
func leastRequest(jobs []Job) Resources {
	least := Resources{math.Inf(1), math.Inf(1), math.Inf(1)}
	for i := range jobs {
		if job := &jobs[i]; job.hasStartableTasks() {
			least = least.leastOfEach(job.Request)
		}
	}
	return least
}

// addBooting adds a machine that the plan requests.
func (p *machinePool) addBooting(pool CapacityPool, free Resources) {
	p.withCapacity = append(p.withCapacity, len(p.machines))
	p.machines = append(p.machines, Machine{Type: pool.Type, Zone: pool.Zone, Spot: pool.Spot, Booting: true, Free: free})
}

// addTasks puts tasks on a machine that is up, and their image among those it fetches.
func (m *Machine) addTasks(job *pendingJob, count int) {
	if !m.hasImage(job.Spec.Image) {
		// The slices are clipped because the snapshot's machine shares them.
		m.Images = append(slices.Clip(m.Images), job.Spec.Image)
		m.PendingFetchGB += job.Spec.ImageGB
	}
	m.Tasks = append(slices.Clip(m.Tasks), RunningTasks{Job: job.index, Count: count})
}
