package scheduler

import (
	"math"

	"marblehaven/internal/protocol"
)

// slack is W_k of a job of which n tasks find no room, with the boot that a rental
// would take. The estimate includes what waits ahead for the same held room, so that
// W_k is spent while renting still helps.
func (p *planner) slack(job *Job, tasks int, boot float64) float64 {
	const longestQueueS = 1e6 // seconds; without held machines the queue has no end
	work := float64(tasks) * job.EstimateS
	queue := 0.0
	if job.Request.GPUs > 0 {
		p.queuedGPUs += work * job.Request.GPUs
		queue = p.queuedGPUs / math.Max(p.provisioned.gpus, epsilon)
	} else {
		p.queuedCores += work * job.Request.Cores
		queue = p.queuedCores / math.Max(p.provisioned.cores, epsilon)
	}
	return math.Max(0, job.DeadlineS-p.snapshot.Rho*(job.EstimateS+math.Min(queue, longestQueueS))-boot)
}

func bootTimeS(snapshot *Snapshot, job *Job) float64 {
	lowestPrice, boot := math.Inf(1), 0.0
	for i := range snapshot.Types {
		machineType := &snapshot.Types[i]
		if TypeFits(machineType, job.Spec) && machineType.Price < lowestPrice {
			lowestPrice, boot = machineType.Price, machineType.BootS+fetchTimeS(machineType, job.Spec)
		}
	}
	return boot
}

func fetchTimeS(machineType *MachineType, spec *protocol.Job) float64 {
	if machineType.FetchGBps <= 0 {
		return 0
	}
	return spec.ImageGB / machineType.FetchGBps
}
