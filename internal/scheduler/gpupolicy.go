package scheduler

import "marblehaven/internal/protocol"

// gpuMachinePolicy decides how much of a machine with GPUs other work may use. Such
// machines cost many times as much, so other work never keeps one that would be
// returned otherwise, and never delays the work that needs the GPUs.
type gpuMachinePolicy struct {
	snapshot *Snapshot
	// gpuWorkWaits tells whether tasks that need GPUs could be started.
	gpuWorkWaits bool
}

func newGPUMachinePolicy(snapshot *Snapshot) gpuMachinePolicy {
	policy := gpuMachinePolicy{snapshot: snapshot}
	for i := range snapshot.Jobs {
		job := &snapshot.Jobs[i]
		policy.gpuWorkWaits = policy.gpuWorkWaits || (job.needsGPUs() && job.hasStartableTasks())
	}
	return policy
}

// avoidsGPUMachines tells whether a job must keep off machines with GPUs: it needs
// none, and there is a machine type without GPUs that it can use instead.
func avoidsGPUMachines(snapshot *Snapshot, job *Job) bool {
	if job.needsGPUs() {
		return false
	}
	for i := range snapshot.Types {
		if machineType := &snapshot.Types[i]; machineType.Capacity.GPUs == 0 && TypeFits(machineType, job.Spec) {
			return true
		}
	}
	return false
}

// capacityForNonGPUWork is how many tasks of a job that keeps off GPUs the machine takes
// all the same. Only work that ends by itself may be there.
func (p *gpuMachinePolicy) capacityForNonGPUWork(machine *Machine, job *pendingJob) int {
	switch {
	case job.Spec.Kind == protocol.KindService:
		return 0
	case p.runsGPUWork(machine):
		return p.capacityBesideGPUWork(machine, job)
	case p.mayUseIdleGPUs(machine, job):
		return machine.Free.CapacityFor(job.Request)
	}
	return 0
}

// capacityBesideGPUWork leaves free what one more task with GPUs needs, as long as
// there is so much: the GPUs that are left can then be used.
func (p *gpuMachinePolicy) capacityBesideGPUWork(machine *Machine, job *pendingJob) int {
	free := machine.Free
	if gpuRequest := p.snapshot.LargestGPURequest; gpuRequest.GPUs > 0 && free.fits(gpuRequest) {
		free = free.Minus(gpuRequest, 1)
	}
	return free.CapacityFor(job.Request)
}

// mayUseIdleGPUs tells whether the job may use all of a machine whose GPUs are idle:
// no work with GPUs waits for it, the job can be preempted when such work comes, and
// the machine is not about to be returned.
func (p *gpuMachinePolicy) mayUseIdleGPUs(machine *Machine, job *pendingJob) bool {
	return !p.gpuWorkWaits &&
		job.Priority > p.lowestGPUPriority() &&
		!job.isGang() &&
		!p.snapshot.idleTooLong(machine)
}

// lowestGPUPriority is the priority below which every job can be preempted for work
// with GPUs. As long as none has been seen, as after a failover, only the lowest
// priority is certain to be.
func (p *gpuMachinePolicy) lowestGPUPriority() protocol.PriorityLevel {
	if p.snapshot.LowestGPUPriority < 0 {
		return LowestPriority - 1
	}
	return p.snapshot.LowestGPUPriority
}

// runsGPUWork tells whether tasks that need GPUs are on the machine.
func (p *gpuMachinePolicy) runsGPUWork(machine *Machine) bool {
	for _, running := range machine.Tasks {
		if p.snapshot.Jobs[running.Job].needsGPUs() {
			return true
		}
	}
	return false
}
