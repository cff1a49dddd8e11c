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
func (p *planner) gpuWaitS(job *Job, n int, in string) float64 {
	if p.gpuFreeInS == nil {
		p.gpuFreeInS = make([]float64, len(p.snapshot.Machines))
		for i := range p.snapshot.Machines {
			for _, r := range p.snapshot.Machines[i].Tasks {
				p.gpuFreeInS[i] = math.Max(p.gpuFreeInS[i], r.RemainingS)
			}
		}
	}
	byZone := map[string][]int{}
	for i := range p.snapshot.Machines {
		machine := &p.snapshot.Machines[i]
		if p.snapshot.Types[machine.Type].Capacity.CapacityFor(job.Request) == 0 || !(machine.Schedulable || len(machine.Tasks) > 0) || !p.allowed(machine, job.Spec) || (in != "" && machine.Zone != in) {
			continue
		}
		z := anyZone
		if job.Spec.OneZone {
			z = machine.Zone
		}
		byZone[z] = append(byZone[z], i)
	}
	best, wait := []int(nil), math.Inf(1)
	for _, z := range slices.Sorted(maps.Keys(byZone)) {
		idx := byZone[z]
		slices.SortStableFunc(idx, func(a, b int) int { return cmp.Compare(p.gpuFreeInS[a], p.gpuFreeInS[b]) })
		left := n
		for k, i := range idx {
			if left -= p.snapshot.Types[p.snapshot.Machines[i].Type].Capacity.CapacityFor(job.Request); left <= 0 {
				if p.gpuFreeInS[i] < wait {
					best, wait = idx[:k+1], p.gpuFreeInS[i]
				}
				break
			}
		}
	}
	for _, i := range best {
		p.gpuFreeInS[i] += job.EstimateS
	}
	return wait
}
