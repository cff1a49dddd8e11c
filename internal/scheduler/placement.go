package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"marblehaven/internal/tuning"
)

// On which machines tasks are placed.
const (
	targetReady   = iota
	targetCached  // ready, and the image is there
	targetBooting // not up yet: tasks are only counted against their room
	// targetPreempted: room that is made by stopping lower work
	targetPreempted
)

// candidate is a machine that has room for tasks of a job.
type candidate struct {
	machine, capacity int
	cost              float64 // price times estimate
	tieBreak          float64 // what decides between equal costs, the least first
}

// place puts up to n tasks on machines of the kind and returns how many found
// room.
func (p *planner) place(jobIndex, tasks int, tasksByZone map[string]int, avoidGPUs, gang bool, target int) int {
	if tasks == 0 {
		return 0
	}
	job := &p.snapshot.Jobs[jobIndex]
	taskKind, remembered := p.taskKind(job, target, !gang)
	if remembered && p.exhaustedKinds[taskKind] {
		return 0
	}
	candidates := p.candidates(job, tasksByZone, avoidGPUs, target)
	var starts []Start
	var placed int
	if job.Spec.OneZone {
		starts, placed = p.distributeInOneZone(jobIndex, tasks, tasksByZone, candidates)
	} else {
		starts, placed = p.distribute(jobIndex, tasks, tasksByZone, candidates, "")
	}
	if remembered && placed < tasks {
		p.exhaustedKinds[taskKind] = true
	}
	if gang && placed < tasks {
		return 0
	}
	for _, start := range starts {
		p.addStart(start, tasksByZone, target)
	}
	return placed
}

// candidates lists the machines of a kind that have room for a task, the cheapest
// first.
func (p *planner) candidates(job *Job, tasksByZone map[string]int, avoidGPUs bool, target int) []candidate {
	var out []candidate
	for _, i := range p.withCapacity {
		if c, ok := p.candidate(i, job, tasksByZone, avoidGPUs, target); ok {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		// Equal cost: the fuller machine, so that others empty.
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.tieBreak, b.tieBreak))
	})
	return out
}

// candidate tells whether a machine of the pool is of the kind and has room for a task
// of a job, and at what cost.
func (p *planner) candidate(i int, job *Job, tasksByZone map[string]int, avoidGPUs bool, target int) (c candidate, ok bool) {
	machine, spec := &p.pool[i], job.Spec
	if (target == targetBooting && !machine.Booting) || (target != targetBooting && !machine.Schedulable) || !p.allowed(machine, spec) || (target == targetCached && !machine.hasImage(spec.Image)) {
		return c, false
	}
	capacity := p.capacityOn(machine, job, avoidGPUs)
	if capacity == 0 || ZoneCapacity(spec, tasksByZone, machine.Zone) == 0 {
		return c, false
	}
	machineType := &p.snapshot.Types[machine.Type]
	estimate := job.EstimateS
	if !machine.hasImage(spec.Image) {
		// Fetches share the rate: one after another the first are there
		// sooner, and what waits meanwhile may find a better place.
		if target == targetReady && machine.PendingFetchGB > tuning.FetchAheadS*machineType.FetchGBps {
			return c, false
		}
		estimate += fetchTimeS(machineType, spec)
		if machineType.FetchGBps > 0 {
			estimate += machine.PendingFetchGB / machineType.FetchGBps
		}
	}
	share := 1 / float64(max(1, machineType.Capacity.CapacityFor(job.Request)))
	tieBreak := machine.Free.Cores
	if job.Request.GPUs > 0 {
		tieBreak = machine.GPUIdleS // the last used, so that others are given back
	}
	return candidate{i, capacity, machineType.HourlyPrice(machine.Spot) * share * math.Max(estimate, 1), tieBreak}, true
}

// distribute divides up to n tasks over the candidates in their order, in one zone only
// unless that is empty, and returns how many found room.
func (p *planner) distribute(jobIndex, tasks int, tasksByZone map[string]int, candidates []candidate, onlyZone string) ([]Start, int) {
	if len(candidates) == 0 {
		return nil, 0
	}
	var starts []Start
	inZone := maps.Clone(tasksByZone)
	if inZone == nil {
		inZone = map[string]int{}
	}
	left := tasks
	for _, c := range candidates {
		zone := p.pool[c.machine].Zone
		if onlyZone != "" && zone != onlyZone {
			continue
		}
		count := min(left, c.capacity, ZoneCapacity(p.snapshot.Jobs[jobIndex].Spec, inZone, zone))
		if count <= 0 {
			continue
		}
		starts = append(starts, Start{jobIndex, c.machine, count})
		inZone[zone] += count
		if left -= count; left == 0 {
			break
		}
	}
	return starts, tasks - left
}

// distributeInOneZone takes the zone that takes the most tasks, and of those that take as
// many the one with the least room, so that the other keeps what a larger gang will
// need.
func (p *planner) distributeInOneZone(jobIndex, tasks int, tasksByZone map[string]int, candidates []candidate) (best []Start, placed int) {
	capacity := map[string]int{}
	for _, c := range candidates {
		capacity[p.pool[c.machine].Zone] += c.capacity
	}
	seen, bestZone := map[string]bool{}, ""
	for _, c := range candidates {
		zone := p.pool[c.machine].Zone
		if seen[zone] {
			continue
		}
		seen[zone] = true
		starts, count := p.distribute(jobIndex, tasks, tasksByZone, candidates, zone)
		if count > placed || (count == placed && capacity[zone] < capacity[bestZone]) {
			best, placed, bestZone = starts, count, zone
		}
	}
	return best, placed
}

// addStart enters a start in the plan and takes its room. Of machines that are not up yet
// only the room is taken.
func (p *planner) addStart(start Start, tasksByZone map[string]int, target int) {
	job := &p.snapshot.Jobs[start.Job]
	machine := &p.pool[start.Machine]
	machine.Free = machine.Free.Minus(job.Request, start.Count)
	tasksByZone[machine.Zone] += start.Count
	if target == targetBooting {
		return
	}
	if !machine.hasImage(job.Spec.Image) {
		machine.Images = append(slices.Clip(machine.Images), job.Spec.Image)
		machine.PendingFetchGB += job.Spec.ImageGB
	}
	machine.Tasks = append(slices.Clip(machine.Tasks), RunningTasks{Job: start.Job, Count: start.Count})
	p.plan.Starts = append(p.plan.Starts, start)
}
