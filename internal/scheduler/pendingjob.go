package scheduler

import (
	"maps"

	"marblehaven/internal/protocol"
)

// pendingJob is a job whose waiting tasks are being scheduled.
type pendingJob struct {
	*Job
	index int
	// tasksByZone counts the job's tasks by zone: those that run, and those that the
	// plan starts, makes way for or adds machines for.
	tasksByZone map[string]int
	// avoidsGPUs tells whether the job must keep off machines with GPUs.
	avoidsGPUs bool
}

func newPendingJob(snapshot *Snapshot, index int) *pendingJob {
	job := &snapshot.Jobs[index]
	tasksByZone := map[string]int{}
	maps.Copy(tasksByZone, job.RunningByZone)
	return &pendingJob{Job: job, index: index, tasksByZone: tasksByZone, avoidsGPUs: avoidsGPUMachines(snapshot, job)}
}

// isProductionService tells whether the job is a service that must start at once.
func (j *pendingJob) isProductionService() bool {
	return j.isProduction() && j.Spec.Kind == protocol.KindService
}

// mayPreempt tells whether tasks of lower priorities are preempted for the job:
// production must not wait, and machines with GPUs are kept idle for work that needs them.
func (j *pendingJob) mayPreempt() bool { return j.isProduction() || j.needsGPUs() }

// zoneCapacity is how many more tasks of the job may be in the zone.
func (j *pendingJob) zoneCapacity(zone string) int {
	return ZoneCapacity(j.Spec, j.tasksByZone, zone)
}

// avoidsType tells whether the job must not use machines of the type because of their GPUs.
func (j *pendingJob) avoidsType(machineType *MachineType) bool {
	return j.avoidsGPUs && machineType.Capacity.GPUs > 0
}

// mayAdd tells whether machines of the type may be added for the job.
func (j *pendingJob) mayAdd(machineType *MachineType) bool {
	return TypeFits(machineType, j.Spec) && !j.avoidsType(machineType)
}
