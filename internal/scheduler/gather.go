package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// gpuWait is when the held machines are likely to have room for n tasks of a
// job with GPUs, in the zone given or, if it needs one, in the best; those
// machines then count as taken for as long as the job runs.
func (p *planner) gpuWait(j *Job, n int, in string) float64 {
	if p.gpuLeft == nil {
		p.gpuLeft = make([]float64, len(p.s.Machines))
		for i := range p.s.Machines {
			for _, r := range p.s.Machines[i].Tasks {
				p.gpuLeft[i] = math.Max(p.gpuLeft[i], r.LeftS)
			}
		}
	}
	byZone := map[string][]int{}
	for i := range p.s.Machines {
		m := &p.s.Machines[i]
		if p.s.Types[m.Type].Total.Slots(j.Need) == 0 || !(m.Ready || len(m.Tasks) > 0) || !p.allowed(m, j.Desc) || (in != "" && m.Zone != in) {
			continue
		}
		z := anywhere
		if j.Desc.OneZone {
			z = m.Zone
		}
		byZone[z] = append(byZone[z], i)
	}
	best, wait := []int(nil), math.Inf(1)
	for _, z := range slices.Sorted(maps.Keys(byZone)) {
		idx := byZone[z]
		slices.SortStableFunc(idx, func(a, b int) int { return cmp.Compare(p.gpuLeft[a], p.gpuLeft[b]) })
		left := n
		for k, i := range idx {
			if left -= p.s.Types[p.s.Machines[i].Type].Total.Slots(j.Need); left <= 0 {
				if p.gpuLeft[i] < wait {
					best, wait = idx[:k+1], p.gpuLeft[i]
				}
				break
			}
		}
	}
	for _, i := range best {
		p.gpuLeft[i] += j.EstimateS
	}
	return wait
}

// anywhere is the zone of a gang without need for one.
const anywhere = ""

// gather looks for the zone in which the most room for a gang is free or coming,
// and returns it with the number of tasks that find none there. What is coming
// is counted against the gang. If the gang has waited too long, what is free and
// coming is kept for it: otherwise smaller ones take every machine that falls
// free, and it never starts (all its machines must be free at once).
func (p *planner) gather(ji, n int, keepOff bool) (zone string, missing int) {
	j := &p.s.Jobs[ji]
	d := j.Desc
	free, comes, whole := map[string]int{}, map[string]int{}, map[string]int{}
	key := func(m *Machine) string {
		if d.OneZone {
			return m.Zone
		}
		return anywhere
	}
	for i := range p.pool {
		m := &p.pool[i]
		if !p.eligible(m, d, nil, keepOff) {
			continue
		}
		whole[key(m)] += p.s.Types[m.Type].Total.Slots(j.Need)
		switch {
		case m.Ready:
			free[key(m)] += m.Free.Slots(j.Need)
		case m.Coming:
			comes[key(m)] += m.Free.Slots(j.Need)
		}
	}
	// Where the machines are too few for all of it, there must be more to rent.
	can := map[string]bool{}
	for z, k := range whole {
		can[z] = k >= n
	}
	for ti := range p.s.Types {
		t := &p.s.Types[ti]
		if !TypeFits(t, d) || (keepOff && t.Total.GPUs > 0) {
			continue
		}
		for _, z := range t.Zones {
			if !p.s.Refused[Offer{ti, z, false}] || (d.Spot && !p.s.Refused[Offer{ti, z, true}]) {
				can[key(&Machine{Zone: z})] = true
			}
		}
	}
	best := -1
	for _, z := range slices.Sorted(maps.Keys(can)) {
		if got := min(n, free[z]+comes[z]); can[z] && (z == anywhere || ZoneRoom(d, nil, z) > 0) && (got > best || (got == best && whole[z] > whole[zone])) {
			zone, best = z, got
		}
	}
	if best <= 0 {
		return "", n
	}
	keep := j.OverdueS > 0
	left := n
	for i := range p.pool {
		m := &p.pool[i]
		if left == 0 {
			break
		}
		if key(m) != zone || !(m.Ready || m.Coming) || !p.eligible(m, d, nil, keepOff) {
			continue
		}
		k := min(left, m.Free.Slots(j.Need))
		if m.Coming || keep {
			m.Free = m.Free.Sub(j.Need, k)
		}
		if k > 0 && m.Ready && keep {
			p.kept = append(p.kept, i)
		}
		left -= k
	}
	return zone, left
}
