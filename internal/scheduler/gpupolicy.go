package scheduler

import "marblehaven/internal/protocol"

// gpuMachinePolicy decides how much of a machine with GPUs other work may use. Machines
// with GPUs cost many times as much as others, so other work must neither keep one that
// would otherwise be returned nor delay work that needs the GPUs.
type gpuMachinePolicy struct {
	snapshot *Snapshot
	// gpuWorkWaits is set if tasks that need GPUs wait and may be started.
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

// avoidsGPUMachines reports whether a job must avoid machines with GPUs: the job needs no
// GPUs, and its tasks fit a machine type without GPUs.
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

// capacityForNonGPUWork returns how many tasks of the job the machine can take. The job
// avoids GPUs, and the machine has some. Services get no capacity, since they do not end
// until they are cancelled.
func (p *gpuMachinePolicy) capacityForNonGPUWork(machine *Machine, job *pendingJob) int {
	switch {
	case job.Spec.Kind == protocol.KindService:
		return 0
	case p.runsGPUWork(machine):
		return p.capacityBesideGPUWork(machine, job)
	case p.mayUseMachineWithIdleGPUs(machine, job):
		return machine.Free.CapacityFor(job.Request)
	}
	return 0
}

// capacityBesideGPUWork returns how many tasks of the job fit beside GPU work. If one
// more task with GPUs would fit, its request is left free so that the remaining GPUs can
// be used.
func (p *gpuMachinePolicy) capacityBesideGPUWork(machine *Machine, job *pendingJob) int {
	free := machine.Free
	if gpuRequest := p.snapshot.LargestGPURequest; gpuRequest.GPUs > 0 && free.fits(gpuRequest) {
		free = free.Minus(gpuRequest, 1)
	}
	return free.CapacityFor(job.Request)
}

// mayUseMachineWithIdleGPUs reports whether the job may use all free capacity of a
// machine whose GPUs are idle: no work with GPUs waits, the job can be preempted when
// such work arrives, and the machine is not about to be returned.
func (p *gpuMachinePolicy) mayUseMachineWithIdleGPUs(machine *Machine, job *pendingJob) bool {
	return !p.gpuWorkWaits &&
		job.Priority > p.lowestGPUPriority() &&
		!job.isGang() &&
		!p.snapshot.idleTooLong(machine)
}

// lowestGPUPriority returns the priority below which every job can be preempted for work
// with GPUs. Until a job with GPUs has been seen, for example after a failover, only jobs
// of the lowest priority are certain to be preemptible.
func (p *gpuMachinePolicy) lowestGPUPriority() protocol.PriorityLevel {
	if p.snapshot.LowestGPUPriority < 0 {
		return LowestPriority - 1
	}
	return p.snapshot.LowestGPUPriority
}

// runsGPUWork reports whether tasks that need GPUs are on the machine.
func (p *gpuMachinePolicy) runsGPUWork(machine *Machine) bool {
	for _, running := range machine.Tasks {
		if p.snapshot.Jobs[running.Job].needsGPUs() {
			return true
		}
	}
	return false
}
