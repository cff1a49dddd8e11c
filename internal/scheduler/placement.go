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
func (p *planner) place(jobIndex, n int, zones map[string]int, keepOff, gang bool, kind int) int {
	if n == 0 {
		return 0
	}
	job := &p.snapshot.Jobs[jobIndex]
	sig, like := p.taskKind(job, kind, !gang)
	if like && p.exhaustedKinds[sig] {
		return 0
	}
	candidates := p.candidates(job, zones, keepOff, kind)
	var starts []Start
	var placed int
	if job.Spec.OneZone {
		starts, placed = p.distributeInOneZone(jobIndex, n, zones, candidates)
	} else {
		starts, placed = p.distribute(jobIndex, n, zones, candidates, "")
	}
	if like && placed < n {
		p.exhaustedKinds[sig] = true
	}
	if gang && placed < n {
		return 0
	}
	for _, start := range starts {
		p.addStart(start, zones, kind)
	}
	return placed
}

// candidates lists the machines of a kind that have room for a task, the cheapest
// first.
func (p *planner) candidates(job *Job, zones map[string]int, keepOff bool, kind int) []candidate {
	var out []candidate
	for _, i := range p.withCapacity {
		if c, ok := p.candidate(i, job, zones, keepOff, kind); ok {
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
func (p *planner) candidate(i int, job *Job, zones map[string]int, keepOff bool, kind int) (c candidate, ok bool) {
	machine, spec := &p.pool[i], job.Spec
	if (kind == targetBooting && !machine.Booting) || (kind != targetBooting && !machine.Schedulable) || !p.allowed(machine, spec) || (kind == targetCached && !machine.hasImage(spec.Image)) {
		return c, false
	}
	room := p.capacityOn(machine, job, keepOff)
	if room == 0 || ZoneCapacity(spec, zones, machine.Zone) == 0 {
		return c, false
	}
	machineType := &p.snapshot.Types[machine.Type]
	estimate := job.EstimateS
	if !machine.hasImage(spec.Image) {
		// Fetches share the rate: one after another the first are there
		// sooner, and what waits meanwhile may find a better place.
		if kind == targetReady && machine.PendingFetchGB > tuning.FetchAheadS*machineType.FetchGBps {
			return c, false
		}
		estimate += fetchTimeS(machineType, spec)
		if machineType.FetchGBps > 0 {
			estimate += machine.PendingFetchGB / machineType.FetchGBps
		}
	}
	share := 1 / float64(max(1, machineType.Capacity.CapacityFor(job.Request)))
	left := machine.Free.Cores
	if job.Request.GPUs > 0 {
		left = machine.GPUIdleS // the last used, so that others are given back
	}
	return candidate{i, room, machineType.HourlyPrice(machine.Spot) * share * math.Max(estimate, 1), left}, true
}

// distribute divides up to n tasks over the candidates in their order, in one zone only
// unless that is empty, and returns how many found room.
func (p *planner) distribute(jobIndex, n int, zones map[string]int, candidates []candidate, only string) ([]Start, int) {
	if len(candidates) == 0 {
		return nil, 0
	}
	var starts []Start
	inZone := maps.Clone(zones)
	if inZone == nil {
		inZone = map[string]int{}
	}
	left := n
	for _, c := range candidates {
		zone := p.pool[c.machine].Zone
		if only != "" && zone != only {
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
	return starts, n - left
}

// distributeInOneZone takes the zone that takes the most tasks, and of those that take as
// many the one with the least room, so that the other keeps what a larger gang will
// need.
func (p *planner) distributeInOneZone(jobIndex, n int, zones map[string]int, candidates []candidate) (best []Start, placed int) {
	room := map[string]int{}
	for _, c := range candidates {
		room[p.pool[c.machine].Zone] += c.capacity
	}
	seen, bestZone := map[string]bool{}, ""
	for _, c := range candidates {
		zone := p.pool[c.machine].Zone
		if seen[zone] {
			continue
		}
		seen[zone] = true
		starts, count := p.distribute(jobIndex, n, zones, candidates, zone)
		if count > placed || (count == placed && room[zone] < room[bestZone]) {
			best, placed, bestZone = starts, count, zone
		}
	}
	return best, placed
}

// addStart enters a start in the plan and takes its room. Of machines that are not up yet
// only the room is taken.
func (p *planner) addStart(start Start, zones map[string]int, kind int) {
	job := &p.snapshot.Jobs[start.Job]
	machine := &p.pool[start.Machine]
	machine.Free = machine.Free.Minus(job.Request, start.Count)
	zones[machine.Zone] += start.Count
	if kind == targetBooting {
		return
	}
	if !machine.hasImage(job.Spec.Image) {
		machine.Images = append(slices.Clip(machine.Images), job.Spec.Image)
		machine.PendingFetchGB += job.Spec.ImageGB
	}
	machine.Tasks = append(slices.Clip(machine.Tasks), RunningTasks{Job: start.Job, Count: start.Count})
	p.plan.Starts = append(p.plan.Starts, start)
}
