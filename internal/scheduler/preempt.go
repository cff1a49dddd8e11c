package scheduler

import (
	"cmp"
	"slices"

	"marblehaven/internal/protocol"
)

// victim is what is stopped on a machine to make room there for one task.
type victim struct {
	machine int
	rank    int     // the highest rank of what is stopped
	cost    float64 // the work that is lost
	stops   []Stop
}

// makeRoom stops the work of the lowest rank, on the machine where the least of
// it is lost. What is already stopping counts as room to come. It returns for
// how many tasks there will be room.
func (p *planner) makeRoom(ji, n int, zones map[string]int, keepOff, cached bool) int {
	j := &p.s.Jobs[ji]
	if j.Desc.Kind == protocol.KindGang && n > 1 {
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
	made := 0
	for _, v := range p.findVictims(ji, zones, keepOff, cached) {
		if made == n || ZoneRoom(j.Desc, zones, p.pool[v.machine].Zone) == 0 {
			continue
		}
		made++
		p.stop(&v, j, zones)
	}
	if like && made < n {
		p.full[sig] = true
	}
	return made
}

// findVictims lists what could be stopped for a task of a job, the best first.
func (p *planner) findVictims(ji int, zones map[string]int, keepOff, cached bool) []victim {
	j := &p.s.Jobs[ji]
	var found []victim
	for _, i := range p.victims {
		m := &p.pool[i]
		if !m.Ready || !p.eligible(m, j.Desc, zones, keepOff) || (cached && !m.has(j.Desc.Image)) {
			continue
		}
		if v, ok := p.victimOn(i, ji); ok {
			found = append(found, v)
		}
	}
	// The lowest rank first: a task of an array that is stopped holds up its
	// whole job, and among higher work that job has a deadline to lose.
	slices.SortStableFunc(found, func(a, b victim) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.cost, b.cost))
	})
	return found
}

// victimOn finds out what has to be stopped on a machine for a task of a job, if that
// makes enough room.
func (p *planner) victimOn(i, ji int) (victim, bool) {
	j, m := &p.s.Jobs[ji], &p.pool[i]
	out := victim{machine: i, rank: LowestRank}
	free := m.Free
	for _, r := range p.lowestFirst(m.Tasks) {
		v := &p.s.Jobs[r.Job]
		if free.Slots(j.Need) > 0 || v.Rank <= j.Rank {
			break
		}
		if p.pos[r.Job] < p.pos[ji] {
			continue // it would take the room again at once
		}
		if v.Desc.Kind == protocol.KindGang && v.Desc.Tasks > 1 {
			continue
		}
		free = free.Sub(v.Need, -r.Ending)
		count := 0
		for r.Ending+count < r.Count && free.Slots(j.Need) == 0 {
			free = free.Sub(v.Need, -1)
			count++
		}
		if count > 0 {
			out.cost += r.LostS * v.Need.Cores * float64(count) / float64(r.Count)
			out.rank = min(out.rank, v.Rank)
			out.stops = append(out.stops, Stop{i, r.Job, count})
		}
	}
	return out, free.Slots(j.Need) > 0
}

// lowestFirst orders what runs on a machine, the lowest rank and the least loss first.
func (p *planner) lowestFirst(tasks []Running) []Running {
	if len(tasks) < 2 {
		return tasks
	}
	tasks = slices.Clone(tasks)
	slices.SortStableFunc(tasks, func(a, b Running) int {
		return cmp.Or(cmp.Compare(p.s.Jobs[b.Job].Rank, p.s.Jobs[a.Job].Rank), cmp.Compare(a.LostS, b.LostS))
	})
	return tasks
}

// stop enters the stops in the plan. The room that they make is for one task of the job.
func (p *planner) stop(v *victim, j *Job, zones map[string]int) {
	m := &p.pool[v.machine]
	for _, stop := range v.stops {
		p.plan.Stops = append(p.plan.Stops, stop)
		k := slices.IndexFunc(m.Tasks, func(r Running) bool { return r.Job == stop.Job })
		m.Tasks = slices.Clone(m.Tasks)
		m.Tasks[k].Ending += stop.Count
		m.Free = m.Free.Sub(p.s.Jobs[stop.Job].Need, -stop.Count)
	}
	m.Free = m.Free.Sub(j.Need, 1)
	m.Ready = false // its room is spoken for
	zones[m.Zone]++
}
