package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"marblehaven/internal/tuning"
)

// placementTarget selects the machines on which a search looks for capacity.
type placementTarget int

const (
	// targetReady selects machines that are up.
	targetReady placementTarget = iota
	// targetCached selects machines that are up and have or fetch the job's image.
	targetCached
	// targetBooting selects machines that are not up yet. Tasks are only counted against
	// the capacity of these machines, so that no others are added for the same tasks.
	targetBooting
	// targetPreempted selects no machines. In exhaustedKinds it stands for capacity that
	// preemption makes.
	targetPreempted
)

// admits reports whether the target includes the machine, for tasks with the image.
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
	tieBreak          float64 // orders candidates of equal cost, the smallest first
}

// place puts up to the given number of tasks on machines of the target (bin packing) and
// returns how many it placed. A gang's tasks are placed all together or not at all.
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

// candidate returns a machine of the pool as a candidate with its cost; ok is false if
// the machine is excluded or has no capacity for a task of the job.
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

// fetchesTooMuch reports whether the machine lacks the image and already has so many
// images to fetch that no other should be added. Fetches share the rate of the machine:
// with fewer at a time the first ones complete sooner, and tasks that wait meanwhile can
// still be given a better machine.
func (p *planner) fetchesTooMuch(machine *Machine, image string) bool {
	return !machine.hasImage(image) && machine.PendingFetchGB > tuning.FetchAheadS*p.snapshot.typeOf(machine).FetchGBps
}

// placementCost returns the price of a task's share of the machine times the estimate (P1
// of DRPA, eq. 29). The time to fetch a missing image, after all pending fetches, is part
// of the estimate.
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

// tieBreak returns the free cores of the machine, or for work with GPUs the time since
// its GPUs were last used. The fuller or more recently used machine is preferred, so that
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

// distributeInZone divides the tasks over the candidates that satisfy the constraint, in
// the order of the candidates.
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

// distributeInBestZone puts the tasks into the zone that takes the most of them, and
// among equal ones into the zone with the least capacity, so that the zone with more
// capacity remains available for a larger gang.
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

// addStart takes the capacity of a start from its machine and adds the start to the plan.
// On machines that are booting, only the capacity is taken.
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
