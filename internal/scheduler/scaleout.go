package scheduler

import (
	"math"

	"marblehaven/internal/protocol"
)

// scaleOutRequests collects the machines that the plan requests, by capacity pool.
type scaleOutRequests struct {
	requests []ScaleOut
	// forProduction counts the machines requested for tasks of production jobs.
	forProduction map[CapacityPool]int
}

func newScaleOutRequests() scaleOutRequests {
	return scaleOutRequests{forProduction: map[CapacityPool]int{}}
}

// add requests machines of a pool for tasks of a job.
func (r *scaleOutRequests) add(pool CapacityPool, count int, job *pendingJob) {
	if job.isProduction() {
		r.forProduction[pool] += count
	}
	for i := range r.requests {
		if r.requests[i].CapacityPool == pool {
			r.requests[i].Count += count
			return
		}
	}
	r.requests = append(r.requests, ScaleOut{pool, count})
}

// withProductionHeadroom returns the requests, with half as many machines again for
// production: boot times vary by more than its service-level objectives allow, and in a
// new cluster the images are fetched sooner if more machines fetch them.
func (r *scaleOutRequests) withProductionHeadroom() []ScaleOut {
	for i := range r.requests {
		r.requests[i].Count += r.forProduction[r.requests[i].CapacityPool] / 2
	}
	return r.requests
}

// shouldScaleOut reports whether machines should be added for the job. If the job needs
// GPUs, the result is true only if a new machine is up before provisioned ones become free
// for the job (Algorithm 1 of DRPA, steps 12-14: a job waits for a machine that will be
// free soon), because machines with GPUs are expensive and take one task each. For other
// jobs the result is always true, since small work spreads over all machines that are
// available.
func (p *planner) shouldScaleOut(job *Job, tasks int, zone zoneConstraint, bootS float64) bool {
	return !job.needsGPUs() || p.gpuReleaseTimes.estimateWaitS(job, tasks, zone) > bootS
}

// scaleOut requests the cheapest machines that hold the tasks (P2 of DRPA, eq. 30).
// Capacity that is left over on them counts as booting capacity for the jobs scheduled
// later, except those of a kind in exhaustedKinds. zone is the constraint under which the
// rest of a gang must be placed.
func (p *planner) scaleOut(job *pendingJob, tasks int, zone zoneConstraint) {
	for tasks > 0 {
		best, found := p.cheapestOffer(job, tasks, zone)
		if !found {
			return
		}
		p.scaleOuts.add(best.pool, best.machines(), job)
		p.addBootingMachines(job, best)
		job.tasksByZone[best.pool.Zone] += best.tasks
		tasks -= best.tasks
	}
}

// offer is a capacity pool with the number of tasks that would be placed on its machines.
type offer struct {
	pool                   CapacityPool
	tasks, tasksPerMachine int
	hourlyPrice            float64
}

// machines returns how many machines the tasks need.
func (o *offer) machines() int { return (o.tasks + o.tasksPerMachine - 1) / o.tasksPerMachine }

// costPerTask returns the hourly price of the machines divided by the number of tasks.
// The estimate in eq. 30 is the same for all pools and therefore left out.
func (o *offer) costPerTask() float64 {
	machines := math.Ceil(float64(o.tasks) / float64(o.tasksPerMachine))
	return o.hourlyPrice * machines / float64(o.tasks)
}

// cheapestOffer returns the offer with the lowest cost per task, and among equal ones the
// first in the order of types and zones, with spot instances before others.
func (p *planner) cheapestOffer(job *pendingJob, tasks int, zone zoneConstraint) (best offer, found bool) {
	bestCost := math.Inf(1)
	for typeIndex := range p.snapshot.Types {
		if !job.mayAdd(&p.snapshot.Types[typeIndex]) {
			continue
		}
		for _, candidate := range p.offersOfType(job, tasks, zone, typeIndex) {
			if cost := candidate.costPerTask(); cost < bestCost-epsilon {
				best, bestCost, found = candidate, cost, true
			}
		}
	}
	return best, found
}

// offersOfType lists the pools of a machine type from which machines may be requested for
// the job.
func (p *planner) offersOfType(job *pendingJob, tasks int, zone zoneConstraint, typeIndex int) []offer {
	machineType := &p.snapshot.Types[typeIndex]
	var offers []offer
	for _, name := range machineType.Zones {
		tasksInZone := min(tasks, job.zoneCapacity(name))
		if tasksInZone == 0 || !zone.allows(name) {
			continue
		}
		for _, spot := range []bool{true, false} {
			pool := CapacityPool{typeIndex, name, spot}
			if p.snapshot.mayRequest(pool, job.Spec) {
				offers = append(offers, offer{pool, tasksInZone, machineType.Capacity.CapacityFor(job.Request), machineType.HourlyPrice(spot)})
			}
		}
	}
	return offers
}

// mayRequest reports whether machines of the pool may be requested for the job.
func (s *Snapshot) mayRequest(pool CapacityPool, spec *protocol.Job) bool {
	return (!pool.Spot || spec.Spot) && !s.ExhaustedPools[pool]
}

// addBootingMachines adds the machines of an offer to the machine pool, less the capacity
// that the tasks of the offer take.
func (p *planner) addBootingMachines(job *pendingJob, chosen offer) {
	capacity := p.snapshot.Types[chosen.pool.Type].Capacity
	for left := chosen.tasks; left > 0; left -= chosen.tasksPerMachine {
		p.pool.addBooting(chosen.pool, capacity.Minus(job.Request, min(left, chosen.tasksPerMachine)))
	}
}
