package scheduler

import (
	"cmp"
	"slices"

	"marblehaven/internal/protocol"
)

// victim is what is stopped on a machine to make room there for one task.
type victim struct {
	machine     int
	priority    int     // the highest rank of what is stopped
	lostWork    float64 // the work that is lost
	preemptions []Preemption
}

// preempt stops the work of the lowest rank, on the machine where the least of
// it is lost. What is already stopping counts as room to come. It returns for
// how many tasks there will be room.
func (p *planner) preempt(ji, n int, zones map[string]int, keepOff, cached bool) int {
	j := &p.snapshot.Jobs[ji]
	if j.Spec.Kind == protocol.KindGang && n > 1 {
		return 0 // a gang starts whole: room for a part of it is of no use
	}
	if n == 0 {
		return 0
	}
	sig, like := p.taskKind(j, targetPreempted, true)
	if cached {
		like = false
	}
	if like && p.exhaustedKinds[sig] {
		return 0
	}
	made := 0
	for _, v := range p.findVictims(ji, zones, keepOff, cached) {
		if made == n || ZoneCapacity(j.Spec, zones, p.pool[v.machine].Zone) == 0 {
			continue
		}
		made++
		p.addPreemption(&v, j, zones)
	}
	if like && made < n {
		p.exhaustedKinds[sig] = true
	}
	return made
}

// findVictims lists what could be stopped for a task of a job, the best first.
func (p *planner) findVictims(ji int, zones map[string]int, keepOff, cached bool) []victim {
	j := &p.snapshot.Jobs[ji]
	var found []victim
	for _, i := range p.preemptible {
		m := &p.pool[i]
		if !m.Schedulable || !p.eligible(m, j.Spec, zones, keepOff) || (cached && !m.hasImage(j.Spec.Image)) {
			continue
		}
		if v, ok := p.victimOn(i, ji); ok {
			found = append(found, v)
		}
	}
	// The lowest rank first: a task of an array that is stopped holds up its
	// whole job, and among higher work that job has a deadline to lose.
	slices.SortStableFunc(found, func(a, b victim) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.lostWork, b.lostWork))
	})
	return found
}

// victimOn finds out what has to be stopped on a machine for a task of a job, if that
// makes enough room.
func (p *planner) victimOn(i, ji int) (victim, bool) {
	j, m := &p.snapshot.Jobs[ji], &p.pool[i]
	out := victim{machine: i, priority: LowestPriority}
	free := m.Free
	for _, r := range p.lowestPriorityFirst(m.Tasks) {
		v := &p.snapshot.Jobs[r.Job]
		if free.CapacityFor(j.Request) > 0 || v.Priority <= j.Priority {
			break
		}
		if p.servingOrder[r.Job] < p.servingOrder[ji] {
			continue // it would take the room again at once
		}
		if v.Spec.Kind == protocol.KindGang && v.Spec.Tasks > 1 {
			continue
		}
		free = free.Minus(v.Request, -r.Stopping)
		count := 0
		for r.Stopping+count < r.Count && free.CapacityFor(j.Request) == 0 {
			free = free.Minus(v.Request, -1)
			count++
		}
		if count > 0 {
			out.lostWork += r.LostWorkS * v.Request.Cores * float64(count) / float64(r.Count)
			out.priority = min(out.priority, v.Priority)
			out.preemptions = append(out.preemptions, Preemption{i, r.Job, count})
		}
	}
	return out, free.CapacityFor(j.Request) > 0
}

// lowestPriorityFirst orders what runs on a machine, the lowest rank and the least loss first.
func (p *planner) lowestPriorityFirst(tasks []RunningTasks) []RunningTasks {
	if len(tasks) < 2 {
		return tasks
	}
	tasks = slices.Clone(tasks)
	slices.SortStableFunc(tasks, func(a, b RunningTasks) int {
		return cmp.Or(cmp.Compare(p.snapshot.Jobs[b.Job].Priority, p.snapshot.Jobs[a.Job].Priority), cmp.Compare(a.LostWorkS, b.LostWorkS))
	})
	return tasks
}

// addPreemption enters the stops in the plan. The room that they make is for one task of the job.
func (p *planner) addPreemption(v *victim, j *Job, zones map[string]int) {
	m := &p.pool[v.machine]
	for _, stop := range v.preemptions {
		p.plan.Preemptions = append(p.plan.Preemptions, stop)
		k := slices.IndexFunc(m.Tasks, func(r RunningTasks) bool { return r.Job == stop.Job })
		m.Tasks = slices.Clone(m.Tasks)
		m.Tasks[k].Stopping += stop.Count
		m.Free = m.Free.Minus(p.snapshot.Jobs[stop.Job].Request, -stop.Count)
	}
	m.Free = m.Free.Minus(j.Request, 1)
	m.Schedulable = false // its room is spoken for
	zones[m.Zone]++
}
