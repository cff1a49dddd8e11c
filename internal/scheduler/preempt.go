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
func (p *planner) preempt(jobIndex, tasks int, tasksByZone map[string]int, avoidGPUs, needsImage bool) int {
	job := &p.snapshot.Jobs[jobIndex]
	if job.Spec.Kind == protocol.KindGang && tasks > 1 {
		return 0 // a gang starts whole: room for a part of it is of no use
	}
	if tasks == 0 {
		return 0
	}
	kind, remembered := p.taskKind(job, targetPreempted, true)
	if needsImage {
		remembered = false
	}
	if remembered && p.exhaustedKinds[kind] {
		return 0
	}
	preempted := 0
	for _, v := range p.findVictims(jobIndex, tasksByZone, avoidGPUs, needsImage) {
		if preempted == tasks || ZoneCapacity(job.Spec, tasksByZone, p.pool[v.machine].Zone) == 0 {
			continue
		}
		preempted++
		p.addPreemption(&v, job, tasksByZone)
	}
	if remembered && preempted < tasks {
		p.exhaustedKinds[kind] = true
	}
	return preempted
}

// findVictims lists what could be stopped for a task of a job, the best first.
func (p *planner) findVictims(jobIndex int, tasksByZone map[string]int, avoidGPUs, needsImage bool) []victim {
	job := &p.snapshot.Jobs[jobIndex]
	var victims []victim
	for _, i := range p.preemptible {
		machine := &p.pool[i]
		if !machine.Schedulable || !p.eligible(machine, job.Spec, tasksByZone, avoidGPUs) || (needsImage && !machine.hasImage(job.Spec.Image)) {
			continue
		}
		if v, ok := p.victimOn(i, jobIndex); ok {
			victims = append(victims, v)
		}
	}
	// The lowest rank first: a task of an array that is stopped holds up its
	// whole job, and among higher work that job has a deadline to lose.
	slices.SortStableFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.lostWork, b.lostWork))
	})
	return victims
}

// victimOn finds out what has to be stopped on a machine for a task of a job, if that
// makes enough room.
func (p *planner) victimOn(i, jobIndex int) (victim, bool) {
	job, machine := &p.snapshot.Jobs[jobIndex], &p.pool[i]
	result := victim{machine: i, priority: LowestPriority}
	free := machine.Free
	for _, running := range p.lowestPriorityFirst(machine.Tasks) {
		lowerJob := &p.snapshot.Jobs[running.Job]
		if free.CapacityFor(job.Request) > 0 || lowerJob.Priority <= job.Priority {
			break
		}
		if p.orderPosition[running.Job] < p.orderPosition[jobIndex] {
			continue // it would take the room again at once
		}
		if lowerJob.Spec.Kind == protocol.KindGang && lowerJob.Spec.Tasks > 1 {
			continue
		}
		free = free.Minus(lowerJob.Request, -running.Stopping)
		count := 0
		for running.Stopping+count < running.Count && free.CapacityFor(job.Request) == 0 {
			free = free.Minus(lowerJob.Request, -1)
			count++
		}
		if count > 0 {
			result.lostWork += running.LostWorkS * lowerJob.Request.Cores * float64(count) / float64(running.Count)
			result.priority = min(result.priority, lowerJob.Priority)
			result.preemptions = append(result.preemptions, Preemption{i, running.Job, count})
		}
	}
	return result, free.CapacityFor(job.Request) > 0
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
func (p *planner) addPreemption(v *victim, job *Job, tasksByZone map[string]int) {
	machine := &p.pool[v.machine]
	for _, preemption := range v.preemptions {
		p.plan.Preemptions = append(p.plan.Preemptions, preemption)
		k := slices.IndexFunc(machine.Tasks, func(running RunningTasks) bool { return running.Job == preemption.Job })
		machine.Tasks = slices.Clone(machine.Tasks)
		machine.Tasks[k].Stopping += preemption.Count
		machine.Free = machine.Free.Minus(p.snapshot.Jobs[preemption.Job].Request, -preemption.Count)
	}
	machine.Free = machine.Free.Minus(job.Request, 1)
	machine.Schedulable = false // its room is spoken for
	tasksByZone[machine.Zone]++
}
