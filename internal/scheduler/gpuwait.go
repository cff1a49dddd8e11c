package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// gpuWaitS is when the held machines are likely to have room for n tasks of a
// job with GPUs, in the zone given or, if it needs one, in the best; those
// machines then count as taken for as long as the job runs.
func (p *planner) gpuWaitS(job *Job, tasks int, zone string) float64 {
	if p.gpuFreeInS == nil {
		p.gpuFreeInS = make([]float64, len(p.snapshot.Machines))
		for i := range p.snapshot.Machines {
			for _, running := range p.snapshot.Machines[i].Tasks {
				p.gpuFreeInS[i] = math.Max(p.gpuFreeInS[i], running.RemainingS)
			}
		}
	}
	byZone := map[string][]int{}
	for i := range p.snapshot.Machines {
		machine := &p.snapshot.Machines[i]
		if p.snapshot.Types[machine.Type].Capacity.CapacityFor(job.Request) == 0 || !(machine.Schedulable || len(machine.Tasks) > 0) || !p.allowed(machine, job.Spec) || (zone != "" && machine.Zone != zone) {
			continue
		}
		key := anyZone
		if job.Spec.OneZone {
			key = machine.Zone
		}
		byZone[key] = append(byZone[key], i)
	}
	bestMachines, wait := []int(nil), math.Inf(1)
	for _, key := range slices.Sorted(maps.Keys(byZone)) {
		machines := byZone[key]
		slices.SortStableFunc(machines, func(a, b int) int { return cmp.Compare(p.gpuFreeInS[a], p.gpuFreeInS[b]) })
		missing := tasks
		for k, i := range machines {
			if missing -= p.snapshot.Types[p.snapshot.Machines[i].Type].Capacity.CapacityFor(job.Request); missing <= 0 {
				if p.gpuFreeInS[i] < wait {
					bestMachines, wait = machines[:k+1], p.gpuFreeInS[i]
				}
				break
			}
		}
	}
	for _, i := range bestMachines {
		p.gpuFreeInS[i] += job.EstimateS
	}
	return wait
}
