package scheduler

import (
	"maps"

	"marblehaven/internal/protocol"
)

// pendingJob is a job whose waiting tasks are being scheduled.
type pendingJob struct {
	*Job
	index int
	// tasksByZone counts the job's tasks by zone: running tasks, and tasks for which the
	// plan uses machines that are up or booting, preempts other tasks, or adds machines.
	tasksByZone map[string]int
	// avoidsGPUs is set if the job must avoid machines with GPUs.
	avoidsGPUs bool
}

func newPendingJob(snapshot *Snapshot, index int) *pendingJob {
	job := &snapshot.Jobs[index]
	tasksByZone := map[string]int{}
	maps.Copy(tasksByZone, job.RunningByZone)
	return &pendingJob{Job: job, index: index, tasksByZone: tasksByZone, avoidsGPUs: avoidsGPUMachines(snapshot, job)}
}

// isProductionService reports whether the job is a service of production priority. Such
// services are player-facing and must start at once.
func (j *pendingJob) isProductionService() bool {
	return j.isProduction() && j.Spec.Kind == protocol.KindService
}

// mayPreempt reports whether tasks of lower priorities may be preempted for the job:
// production must not wait, and machines with GPUs are kept for work that needs them.
func (j *pendingJob) mayPreempt() bool { return j.isProduction() || j.needsGPUs() }

// zoneCapacity returns how many more tasks of the job may run in the zone.
func (j *pendingJob) zoneCapacity(zone string) int {
	return ZoneCapacity(j.Spec, j.tasksByZone, zone)
}

// avoidsType reports whether the job must not use machines of the type because of their
// GPUs.
func (j *pendingJob) avoidsType(machineType *MachineType) bool {
	return j.avoidsGPUs && machineType.Capacity.GPUs > 0
}

// mayAdd reports whether machines of the type may be added for the job.
func (j *pendingJob) mayAdd(machineType *MachineType) bool {
	return TypeFits(machineType, j.Spec) && !j.avoidsType(machineType)
}
