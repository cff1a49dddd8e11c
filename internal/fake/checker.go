package fake

import (
	"fmt"
	"slices"
	"time"

	"marblehaven/internal/protocol"
)

// Violations lists the rules broken so far.
func (e *Environment) Violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.violations)
}

func (e *Environment) addViolation(format string, args ...any) {
	e.violations = append(e.violations, fmt.Sprintf(format, args...))
}

// checkStart judges a task that begins to be on a machine.
func (e *Environment) checkStart(machine *machineAgent, task *agentTask) {
	job := e.jobs[task.jobID]
	spec := &job.job
	zones := map[string]int{}
	var cores, gpus float64
	for _, other := range e.machines {
		for _, running := range other.tasks {
			if !running.onMachine() || running == task {
				continue
			}
			if running.jobID == task.jobID && running.index == task.index {
				e.addViolation("ran_twice: %s/%d try %d on %s since %v and try %d on %s (hung %v, up %v, tenure %d) at %v", task.jobID, task.index, running.attempt, other.id, running.stateSince, task.attempt, machine.id, other.hung, other.up, other.incarnation, time.Now())
			}
			if running.jobID == task.jobID {
				zones[other.zone]++
			}
			if otherJob := e.jobs[running.jobID]; otherJob.job.Team == spec.Team {
				cores += otherJob.job.Cores
				gpus += otherJob.job.GPUs
			}
		}
	}
	for _, team := range e.Cfg.Teams {
		if team.Name == spec.Team && ((team.CoresMax > 0 && cores+spec.Cores > team.CoresMax+1e-6) || (team.GPUsMax > 0 && gpus+spec.GPUs > team.GPUsMax+1e-6)) {
			e.addViolation("quota: %s with %s/%d on %s: %v of %v cores, %v of %v cards at %v", spec.Team, task.jobID, task.index, machine.id, cores+spec.Cores, team.CoresMax, gpus+spec.GPUs, team.GPUsMax, time.Now())
		}
	}
	zones[machine.zone]++
	switch {
	case len(spec.MachineTypes) > 0 && !slices.Contains(spec.MachineTypes, machine.machineType.Name), spec.Zone != "" && spec.Zone != machine.zone, machine.spot && !spec.Spot,
		spec.OneZone && len(zones) > 1, spec.Spread && zones[machine.zone] > (spec.Tasks+1)/2:
		e.addViolation("wrong_place: %s/%d on %s", task.jobID, task.index, machine.id)
	}
	if !job.accepted && !job.submitted {
		e.addViolation("invented: %s runs", task.jobID)
	}
	if !e.dependenciesDone(job) {
		e.addViolation("too_early: %s/%d on %s at %v", task.jobID, task.index, machine.id, time.Now())
	}
	if !job.cancelConfirmed.IsZero() {
		e.LateStart = max(e.LateStart, time.Since(job.cancelConfirmed))
	}
	e.checkCancelledTask(machine, task)
}

// checkJobStatus takes in what a user is told, who knew before what it asked with.
func (e *Environment) checkJobStatus(job *userJob, before userJob, st protocol.JobStatus) {
	switch {
	case before.doneConfirmed && st.Phase != protocol.PhaseDone, !before.cancelConfirmed.IsZero() && st.Phase != protocol.PhaseCancelled:
		e.addViolation("went_back: %s is called %s", job.job.ID, st.Phase)
	case st.Phase == protocol.PhaseCancelled && !job.cancelRequested:
		if asked, _ := e.dependencyCancelled(job); !asked {
			e.addViolation("went_back: %s is called cancelled, its user did not ask", job.job.ID)
		}
	case st.Phase == protocol.PhaseDone && len(job.finished) < job.job.Tasks:
		e.addViolation("not_done: %s is called done", job.job.ID)
	}
	e.checkDependentStatus(job, st.Phase)
	if st.Phase == protocol.PhaseDone {
		job.doneConfirmed = true
	}
	if st.Phase == protocol.PhaseCancelled && job.cancelConfirmed.IsZero() {
		job.cancelConfirmed = time.Now()
	}
	if st.Phase == protocol.PhaseCancelled && job.cancelRequested && job.ownCancelConfirmed.IsZero() {
		job.ownCancelConfirmed = time.Now()
	}
}

// checkCancelledTask judges a task on a machine whose job is cancelled, by its own user or with
// one that it needs.
func (e *Environment) checkCancelledTask(machine *machineAgent, task *agentTask) {
	job := e.jobs[task.jobID]
	since := job.cancelConfirmed
	if _, told := e.dependencyCancelled(job); since.IsZero() || (!told.IsZero() && told.Before(since)) {
		since = told
	}
	if !since.IsZero() && time.Since(since).Seconds() > e.Cfg.Workers.CancelS && task.onMachine() {
		e.addViolation("ran_cancelled: %s/%d on %s", task.jobID, task.index, machine.id)
	}
}

func (e *Environment) checkCancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, machine := range e.machines {
		for _, task := range machine.tasks {
			e.checkCancelledTask(machine, task)
		}
	}
}

// EndTroubles says that all troubles are over: from now on no job may be left waiting.
func (e *Environment) EndTroubles() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultsEnded = true
}

// maxWaitWithCapacity is how long a job may wait beside a machine that fits and has room,
// as the operators say.
const maxWaitWithCapacity = 90 * time.Second

// checkWaiting judges the jobs that wait although there is room. Gangs, for which
// much must be free at once, are not among them.
func (e *Environment) checkWaiting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faultsEnded {
		return
	}
	for _, job := range e.jobs {
		if !job.accepted || job.job.Kind == protocol.KindGang || !e.isStartable(job) || !e.hasCapacityFor(job) {
			job.waitingSince = time.Time{}
			continue
		}
		if job.waitingSince.IsZero() {
			job.waitingSince = time.Now()
		}
		if d := time.Since(job.waitingSince); d > maxWaitWithCapacity {
			e.addViolation("left waiting: %s beside room for %v", job.job.ID, d)
			job.waitingSince = time.Now()
		}
	}
}

// hasCapacityFor tells whether a task of a job waits while a machine could take it.
func (e *Environment) hasCapacityFor(job *userJob) bool {
	spec := &job.job
	placed, zones := 0, map[string]int{}
	var cores, gpus float64
	for _, machine := range e.machines {
		for _, task := range machine.tasks {
			if task.state == protocol.TaskExited {
				continue
			}
			otherJob := &e.jobs[task.jobID].job
			if otherJob.Team == spec.Team {
				cores, gpus = cores+otherJob.Cores, gpus+otherJob.GPUs
			}
			if task.jobID == spec.ID {
				placed++
				zones[machine.zone]++
			}
		}
	}
	if placed+len(job.finished) >= spec.Tasks {
		return false
	}
	for _, team := range e.Cfg.Teams {
		if team.Name == spec.Team && ((team.CoresMax > 0 && cores+spec.Cores > team.CoresMax+1e-6) || (team.GPUsMax > 0 && gpus+spec.GPUs > team.GPUsMax+1e-6)) {
			return false
		}
	}
	for _, machine := range e.machines {
		if !machine.up || machine.hung || !machine.preemptionAt.IsZero() || (machine.spot && !spec.Spot) || (spec.Zone != "" && spec.Zone != machine.zone) ||
			(len(spec.MachineTypes) > 0 && !slices.Contains(spec.MachineTypes, machine.machineType.Name)) ||
			(spec.OneZone && len(zones) > 0 && zones[machine.zone] == 0) || (spec.Spread && zones[machine.zone]+1 > (spec.Tasks+1)/2) {
			continue
		}
		free := machine.machineType
		for _, task := range machine.tasks {
			if task.state != protocol.TaskExited {
				otherJob := &e.jobs[task.jobID].job
				free.Cores, free.GPUs, free.MemGB = free.Cores-otherJob.Cores, free.GPUs-otherJob.GPUs, free.MemGB-otherJob.MemGB
			}
		}
		if spec.Cores <= free.Cores+1e-6 && spec.GPUs <= free.GPUs+1e-6 && spec.MemGB <= free.MemGB+1e-6 {
			return true
		}
	}
	return false
}
