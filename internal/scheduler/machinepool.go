package scheduler

import (
	"math"
	"slices"
)

// machinePool holds the machines of the snapshot with the tasks that the plan has placed
// on them, followed by the machines that the plan adds. The lists of indices shorten
// searches, since most machines of a busy cluster are full.
type machinePool struct {
	machines []Machine
	// withCapacity lists the machines on which some waiting task may fit.
	withCapacity []int
	// preemptible lists the machines that have tasks with a priority below production.
	preemptible []int
}

func newMachinePool(snapshot *Snapshot) *machinePool {
	pool := &machinePool{machines: slices.Clone(snapshot.Machines)}
	least := leastRequest(snapshot.Jobs)
	belowProduction := func(running RunningTasks) bool { return !snapshot.Jobs[running.Job].isProduction() }
	for i := range pool.machines {
		machine := &pool.machines[i]
		if machine.schedulableOrBooting() && machine.Free.covers(least) {
			pool.withCapacity = append(pool.withCapacity, i)
		}
		if machine.Schedulable && slices.ContainsFunc(machine.Tasks, belowProduction) {
			pool.preemptible = append(pool.preemptible, i)
		}
	}
	return pool
}

// leastRequest returns, for each resource, the smallest amount that a task of any waiting
// job requests. A machine with less of any one resource fits none of these tasks.
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

// addTasks adds tasks to a machine that is up, and their image to the images that the
// machine fetches.
func (m *Machine) addTasks(job *pendingJob, count int) {
	if !m.hasImage(job.Spec.Image) {
		// Clipping makes append copy the slices, which the snapshot's machine shares.
		m.Images = append(slices.Clip(m.Images), job.Spec.Image)
		m.PendingFetchGB += job.Spec.ImageGB
	}
	m.Tasks = append(slices.Clip(m.Tasks), RunningTasks{Job: job.index, Count: count})
}
