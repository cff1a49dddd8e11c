package scheduler

import (
	"cmp"
	"slices"

	"marblehaven/internal/protocol"
)

// victim is what is stopped on a machine to make room there for one task.
type victim struct {
	machine     int
	priority    protocol.PriorityLevel // the highest rank of what is stopped
	lostWork    float64                // the work that is lost
	preemptions []Preemption
}

// preempt stops the work of the lowest rank, on the machine where the least of
// it is lost. What is already stopping counts as room to come. It returns for
// how many tasks there will be room.
func (p *planner) preempt(jobIndex, n int, zones map[string]int, keepOff, cached bool) int {
	job := &p.snapshot.Jobs[jobIndex]
	if job.Spec.Kind == protocol.KindGang && n > 1 {
		return 0 // a gang starts whole: room for a part of it is of no use
	}
	if n == 0 {
		return 0
	}
	sig, like := p.taskKind(job, targetPreempted, true)
	if cached {
		like = false
	}
	if like && p.exhaustedKinds[sig] {
		return 0
	}
	made := 0
	for _, v := range p.findVictims(jobIndex, zones, keepOff, cached) {
		if made == n || ZoneCapacity(job.Spec, zones, p.pool[v.machine].Zone) == 0 {
			continue
		}
		made++
		p.addPreemption(&v, job, zones)
	}
	if like && made < n {
		p.exhaustedKinds[sig] = true
	}
	return made
}

// findVictims lists what could be stopped for a task of a job, the best first.
func (p *planner) findVictims(jobIndex int, zones map[string]int, keepOff, cached bool) []victim {
	job := &p.snapshot.Jobs[jobIndex]
	var found []victim
	for _, i := range p.preemptible {
		machine := &p.pool[i]
		if !machine.Schedulable || !p.eligible(machine, job.Spec, zones, keepOff) || (cached && !machine.hasImage(job.Spec.Image)) {
			continue
		}
		if v, ok := p.victimOn(i, jobIndex); ok {
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
func (p *planner) victimOn(i, jobIndex int) (victim, bool) {
	job, machine := &p.snapshot.Jobs[jobIndex], &p.pool[i]
	out := victim{machine: i, priority: LowestPriority}
	free := machine.Free
	for _, r := range p.lowestPriorityFirst(machine.Tasks) {
		v := &p.snapshot.Jobs[r.Job]
		if free.CapacityFor(job.Request) > 0 || v.Priority <= job.Priority {
			break
		}
		if p.servingOrder[r.Job] < p.servingOrder[jobIndex] {
			continue // it would take the room again at once
		}
		if v.Spec.Kind == protocol.KindGang && v.Spec.Tasks > 1 {
			continue
		}
		free = free.Minus(v.Request, -r.Stopping)
		count := 0
		for r.Stopping+count < r.Count && free.CapacityFor(job.Request) == 0 {
			free = free.Minus(v.Request, -1)
			count++
		}
		if count > 0 {
			out.lostWork += r.LostWorkS * v.Request.Cores * float64(count) / float64(r.Count)
			out.priority = min(out.priority, v.Priority)
			out.preemptions = append(out.preemptions, Preemption{i, r.Job, count})
		}
	}
	return out, free.CapacityFor(job.Request) > 0
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
func (p *planner) addPreemption(v *victim, job *Job, zones map[string]int) {
	machine := &p.pool[v.machine]
	for _, stop := range v.preemptions {
		p.plan.Preemptions = append(p.plan.Preemptions, stop)
		k := slices.IndexFunc(machine.Tasks, func(r RunningTasks) bool { return r.Job == stop.Job })
		machine.Tasks = slices.Clone(machine.Tasks)
		machine.Tasks[k].Stopping += stop.Count
		machine.Free = machine.Free.Minus(p.snapshot.Jobs[stop.Job].Request, -stop.Count)
	}
	machine.Free = machine.Free.Minus(job.Request, 1)
	machine.Schedulable = false // its room is spoken for
	zones[machine.Zone]++
}
