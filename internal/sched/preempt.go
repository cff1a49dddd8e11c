package sched

import (
	"cmp"
	"slices"

	"marblehaven/internal/wire"
)

// makeRoom stops the work of the lowest rank, on the machine where the least of
// it is lost. What is already stopping counts as room to come. It returns for
// how many tasks there will be room.
func (p *planner) makeRoom(ji, n int, zones map[string]int, keepOff, cached bool) int {
	j := &p.s.Jobs[ji]
	if j.Desc.Shape == wire.Gang && n > 1 {
		return 0 // a gang starts whole: room for a part of it is of no use
	}
	if n == 0 {
		return 0
	}
	sig, like := p.kind(j, stopping, true)
	if cached {
		like = false
	}
	if like && p.full[sig] {
		return 0
	}
	type victim struct {
		m, rank int // the rank of the highest work that is stopped
		cost    float64
		stops   []Stop
	}
	var found []victim
	for _, i := range p.victims {
		m := &p.pool[i]
		if !m.Ready || !p.eligible(m, j.Desc, zones, keepOff) || (cached && !m.has(j.Desc.Image)) {
			continue
		}
		free, cost, rank := m.Free, 0.0, LowestRank
		var st []Stop
		tasks := m.Tasks
		if len(tasks) > 1 {
			tasks = slices.Clone(tasks)
			slices.SortStableFunc(tasks, func(a, b Running) int {
				return cmp.Or(cmp.Compare(p.s.Jobs[b.Job].Rank, p.s.Jobs[a.Job].Rank), cmp.Compare(a.LostS, b.LostS))
			})
		}
		for _, r := range tasks {
			v := &p.s.Jobs[r.Job]
			if free.Slots(j.Need) > 0 || v.Rank <= j.Rank {
				break
			}
			if p.pos[r.Job] < p.pos[ji] {
				continue // it would take the room again at once
			}
			if v.Desc.Shape == wire.Gang && v.Desc.Tasks > 1 {
				continue
			}
			free = free.Sub(v.Need, -r.Ending)
			k := 0
			for r.Ending+k < r.Count && free.Slots(j.Need) == 0 {
				free = free.Sub(v.Need, -1)
				k++
			}
			if k > 0 {
				cost += r.LostS * v.Need.Cores * float64(k) / float64(r.Count)
				rank = min(rank, v.Rank)
				st = append(st, Stop{i, r.Job, k})
			}
		}
		if free.Slots(j.Need) > 0 {
			found = append(found, victim{i, rank, cost, st})
		}
	}
	// The lowest rank first: a task of an array that is stopped holds up its
	// whole job, and among higher work that job has a deadline to lose.
	slices.SortStableFunc(found, func(a, b victim) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.cost, b.cost))
	})
	made := 0
	for _, v := range found {
		m := &p.pool[v.m]
		if made == n || ZoneRoom(j.Desc, zones, m.Zone) == 0 {
			continue
		}
		made++
		for _, st := range v.stops {
			p.plan.Stops = append(p.plan.Stops, st)
			for k, r := range m.Tasks {
				if r.Job == st.Job {
					m.Tasks = slices.Clone(m.Tasks)
					m.Tasks[k].Ending += st.Count
					m.Free = m.Free.Sub(p.s.Jobs[r.Job].Need, -st.Count)
					break
				}
			}
		}
		m.Free = m.Free.Sub(j.Need, 1)
		m.Ready = false // its room is spoken for
		zones[m.Zone]++
	}
	if like && made < n {
		p.full[sig] = true
	}
	return made
}
