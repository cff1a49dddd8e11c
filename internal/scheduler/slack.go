package scheduler

import (
	"math"

	"marblehaven/internal/protocol"
)

// workQueue adds up the work that the jobs scheduled so far leave waiting for the
// provisioned machines, in units of the request times seconds. Work with GPUs and other
// work wait for different machines and are counted separately.
type workQueue struct {
	provisioned provisionedCapacity
	cores, gpus float64
}

func newWorkQueue(snapshot *Snapshot) *workQueue {
	return &workQueue{provisioned: provisionedCapacityOf(snapshot)}
}

// enqueue adds waiting tasks of a job and returns how long the provisioned machines take
// for all queued work including these tasks, in seconds.
func (q *workQueue) enqueue(job *Job, tasks int) float64 {
	work := float64(tasks) * job.EstimateS
	if job.needsGPUs() {
		q.gpus += work * job.Request.GPUs
		return q.gpus / math.Max(q.provisioned.gpus, epsilon)
	}
	q.cores += work * job.Request.Cores
	return q.cores / math.Max(q.provisioned.cores, epsilon)
}

// slackS returns the threshold W_k of DRPA (eq. 28): how long a job may still wait for
// provisioned machines,
//
//	W_k = max(0, D_k − T_k − α_kj·ρ) − boot, at least 0,
//
// where DeadlineS is D_k − T_k. Two things differ from the paper. The estimate α_kj
// includes the queue for the same machines, since a job's own estimate does not cover the
// jobs before it. And the boot time of a new machine is subtracted, since a job that
// scales out at zero slack still waits for the boot.
func (p *planner) slackS(job *Job, tasks int, bootS float64) float64 {
	const longestQueueS = 1e6 // without provisioned machines the queueing time is unbounded
	queueS := math.Min(p.workQueue.enqueue(job, tasks), longestQueueS)
	return math.Max(0, job.DeadlineS-p.snapshot.Rho*(job.EstimateS+queueS)-bootS)
}

// bootTimeS returns how long the cheapest machine for the job takes until it is up and
// has the job's image.
func bootTimeS(snapshot *Snapshot, job *Job) float64 {
	lowestPrice, bootS := math.Inf(1), 0.0
	for i := range snapshot.Types {
		machineType := &snapshot.Types[i]
		if TypeFits(machineType, job.Spec) && machineType.Price < lowestPrice {
			lowestPrice = machineType.Price
			bootS = machineType.BootS + fetchTimeS(machineType, job.Spec)
		}
	}
	return bootS
}

// fetchTimeS returns how long a machine of the type takes to fetch the job's image.
func fetchTimeS(machineType *MachineType, spec *protocol.Job) float64 {
	if machineType.FetchGBps <= 0 {
		return 0
	}
	return spec.ImageGB / machineType.FetchGBps
}
