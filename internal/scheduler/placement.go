package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"marblehaven/internal/tuning"
)

// placementTarget says on which machines a search looks for capacity.
type placementTarget int

const (
	// targetReady is machines that are up.
	targetReady placementTarget = iota
	// targetCached is machines that are up and have the job's image.
	targetCached
	// targetBooting is machines that are not up yet. Tasks are only counted against
	// their capacity, so that no further machines are added for them.
	targetBooting
	// targetPreempted is capacity that preemption makes.
	targetPreempted
)

// admits tells whether the search looks at the machine.
func (t placementTarget) admits(machine *Machine, image string) bool {
	switch t {
	case targetBooting:
		return machine.Booting
	case targetCached:
		return machine.Schedulable && machine.hasImage(image)
	}
	return machine.Schedulable
}

// candidate is a machine that has capacity for tasks of a job.
type candidate struct {
	machine, capacity int
	cost              float64 // price times estimate (P1 of DRPA, eq. 29)
	tieBreak          float64 // decides between equal costs, the least first
}

// place puts up to the given number of tasks on machines of the target (bin packing)
// and returns how many found capacity; all of a gang's tasks or none.
func (p *planner) place(job *pendingJob, tasks int, target placementTarget) int {
	if tasks == 0 || p.exhausted.contains(job, target) {
		return 0
	}
	starts, placed := p.distribute(job, tasks, p.candidates(job, target))
	if placed < tasks {
		p.exhausted.add(job, target)
		if job.isGang() {
			return 0
		}
	}
	for _, start := range starts {
		p.addStart(job, start, target)
	}
	return placed
}

// candidates lists the machines that have capacity for a task, the cheapest first.
func (p *planner) candidates(job *pendingJob, target placementTarget) []candidate {
	var found []candidate
	for _, i := range p.pool.withCapacity {
		if c, ok := p.candidate(i, job, target); ok {
			found = append(found, c)
		}
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.tieBreak, b.tieBreak))
	})
	return found
}

// candidate tells whether a machine of the pool is a candidate, and at what cost.
func (p *planner) candidate(index int, job *pendingJob, target placementTarget) (c candidate, ok bool) {
	machine := &p.pool.machines[index]
	if !target.admits(machine, job.Spec.Image) || !p.snapshot.allowsMachine(job.Spec, machine) {
		return c, false
	}
	capacity := p.capacityOn(machine, job)
	if capacity == 0 || job.zoneCapacity(machine.Zone) == 0 {
		return c, false
	}
	if target == targetReady && p.fetchesTooMuch(machine, job.Spec.Image) {
		return c, false
	}
	return candidate{index, capacity, p.placementCost(machine, job), tieBreak(machine, job)}, true
}

// fetchesTooMuch tells whether the machine has so many images to fetch that none should
// be added. Fetches share the rate: one after another the first are there sooner, and
// what waits meanwhile may find a better place.
func (p *planner) fetchesTooMuch(machine *Machine, image string) bool {
	return !machine.hasImage(image) && machine.PendingFetchGB > tuning.FetchAheadS*p.snapshot.typeOf(machine).FetchGBps
}

// placementCost is the price of a task's share of the machine times the estimate (P1 of
// DRPA, eq. 29). An image that is still to be fetched counts in the estimate.
func (p *planner) placementCost(machine *Machine, job *pendingJob) float64 {
	machineType := p.snapshot.typeOf(machine)
	estimateS := job.EstimateS
	if !machine.hasImage(job.Spec.Image) {
		estimateS += fetchTimeS(machineType, job.Spec)
		if machineType.FetchGBps > 0 {
			estimateS += machine.PendingFetchGB / machineType.FetchGBps
		}
	}
	share := 1 / float64(max(1, machineType.Capacity.CapacityFor(job.Request)))
	return machineType.HourlyPrice(machine.Spot) * share * math.Max(estimateS, 1)
}

// tieBreak prefers the fuller machine, or for work with GPUs the one used last, so that
// others stay empty and can be returned.
func tieBreak(machine *Machine, job *pendingJob) float64 {
	if job.needsGPUs() {
		return machine.GPUIdleS
	}
	return machine.Free.Cores
}

// distribute divides the tasks over the candidates and returns how many found capacity.
func (p *planner) distribute(job *pendingJob, tasks int, candidates []candidate) ([]Start, int) {
	if job.Spec.OneZone {
		return p.distributeInBestZone(job, tasks, candidates)
	}
	return p.distributeInZone(job, tasks, candidates, anyZone)
}

// distributeInZone divides the tasks over the candidates that satisfy the constraint,
// in their order.
func (p *planner) distributeInZone(job *pendingJob, tasks int, candidates []candidate, constraint zoneConstraint) ([]Start, int) {
	if len(candidates) == 0 {
		return nil, 0
	}
	var starts []Start
	tasksByZone := maps.Clone(job.tasksByZone)
	left := tasks
	for _, c := range candidates {
		zone := p.pool.machines[c.machine].Zone
		if !constraint.allows(zone) {
			continue
		}
		count := min(left, c.capacity, ZoneCapacity(job.Spec, tasksByZone, zone))
		if count <= 0 {
			continue
		}
		starts = append(starts, Start{job.index, c.machine, count})
		tasksByZone[zone] += count
		if left -= count; left == 0 {
			break
		}
	}
	return starts, tasks - left
}

// distributeInBestZone puts the tasks into the zone that takes the most of them, of
// equal ones into that with the least capacity, so that the other keeps what a larger
// gang will need.
func (p *planner) distributeInBestZone(job *pendingJob, tasks int, candidates []candidate) (best []Start, placed int) {
	capacityByZone := map[string]int{}
	for _, c := range candidates {
		capacityByZone[p.pool.machines[c.machine].Zone] += c.capacity
	}
	tried, bestZone := map[string]bool{}, ""
	for _, c := range candidates {
		zone := p.pool.machines[c.machine].Zone
		if tried[zone] {
			continue
		}
		tried[zone] = true
		starts, count := p.distributeInZone(job, tasks, candidates, zoneConstraint(zone))
		if count > placed || (count == placed && capacityByZone[zone] < capacityByZone[bestZone]) {
			best, placed, bestZone = starts, count, zone
		}
	}
	return best, placed
}

// addStart takes the capacity of a start from its machine and enters it in the plan.
// On machines that are booting only the capacity is taken.
func (p *planner) addStart(job *pendingJob, start Start, target placementTarget) {
	machine := &p.pool.machines[start.Machine]
	machine.Free = machine.Free.Minus(job.Request, start.Count)
	job.tasksByZone[machine.Zone] += start.Count
	if target == targetBooting {
		return
	}
	machine.addTasks(job, start.Count)
	p.plan.Starts = append(p.plan.Starts, start)
}
