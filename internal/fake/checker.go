package fake

import (
	"context"
	"fmt"
	"slices"
	"time"

	"marblehaven/internal/protocol"
)

// checkInterval is the time between two looks of the checker at all machines and jobs.
const checkInterval = 200 * time.Millisecond

// checker judges what the users and the machines see by the rules.
type checker struct {
	LateStart time.Duration // the longest time from a confirmed cancellation to a start

	env         *Environment
	records     *runRecordReader
	violations  []string
	faultsEnded bool // all troubles are over
}

// checkPeriodically looks for the rules that are broken without a message.
func (c *checker) checkPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(checkInterval)
		c.checkCancelled()
		c.checkRunRecords()
		c.checkWaiting()
	}
}

// Violations lists the rules broken so far.
func (c *checker) Violations() []string {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	return slices.Clone(c.violations)
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkStart judges a task that begins to be on a machine.
func (c *checker) checkStart(machine *machineAgent, task *agentTask) {
	job := c.env.jobs[task.jobID]
	spec := &job.job
	zones := map[string]int{}
	var cores, gpus float64
	for _, other := range c.env.machines {
		for _, running := range other.tasks {
			if !running.onMachine() || running == task {
				continue
			}
			if running.jobID == task.jobID && running.index == task.index {
				c.addViolation("ran_twice: %s/%d try %d on %s since %v and try %d on %s (hung %v, up %v, tenure %d) at %v", task.jobID, task.index, running.attempt, other.id, running.stateSince, task.attempt, machine.id, other.hung, other.up, other.incarnation, time.Now())
			}
			if running.jobID == task.jobID {
				zones[other.zone]++
			}
			if otherJob := c.env.jobs[running.jobID]; otherJob.job.Team == spec.Team {
				cores += otherJob.job.Cores
				gpus += otherJob.job.GPUs
			}
		}
	}
	for _, team := range c.env.Cfg.Teams {
		if team.Name == spec.Team && ((team.CoresMax > 0 && cores+spec.Cores > team.CoresMax+1e-6) || (team.GPUsMax > 0 && gpus+spec.GPUs > team.GPUsMax+1e-6)) {
			c.addViolation("quota: %s with %s/%d on %s: %v of %v cores, %v of %v cards at %v", spec.Team, task.jobID, task.index, machine.id, cores+spec.Cores, team.CoresMax, gpus+spec.GPUs, team.GPUsMax, time.Now())
		}
	}
	zones[machine.zone]++
	switch {
	case len(spec.MachineTypes) > 0 && !slices.Contains(spec.MachineTypes, machine.machineType.Name), spec.Zone != "" && spec.Zone != machine.zone, machine.spot && !spec.Spot,
		spec.OneZone && len(zones) > 1, spec.Spread && zones[machine.zone] > (spec.Tasks+1)/2:
		c.addViolation("wrong_place: %s/%d on %s", task.jobID, task.index, machine.id)
	}
	if !job.accepted && !job.submitted {
		c.addViolation("invented: %s runs", task.jobID)
	}
	if !c.dependenciesDone(job) {
		c.addViolation("too_early: %s/%d on %s at %v", task.jobID, task.index, machine.id, time.Now())
	}
	if !job.cancelConfirmed.IsZero() {
		c.LateStart = max(c.LateStart, time.Since(job.cancelConfirmed))
	}
	c.checkCancelledTask(machine, task)
}

// checkJobStatus takes in what a user is told, who knew before what it asked with.
func (c *checker) checkJobStatus(job *userJob, before userJob, st protocol.JobStatus) {
	switch {
	case before.doneConfirmed && st.Phase != protocol.PhaseDone, !before.cancelConfirmed.IsZero() && st.Phase != protocol.PhaseCancelled:
		c.addViolation("went_back: %s is called %s", job.job.ID, st.Phase)
	case st.Phase == protocol.PhaseCancelled && !job.cancelRequested:
		if asked, _ := c.dependencyCancelled(job); !asked {
			c.addViolation("went_back: %s is called cancelled, its user did not ask", job.job.ID)
		}
	case st.Phase == protocol.PhaseDone && len(job.finished) < job.job.Tasks:
		c.addViolation("not_done: %s is called done", job.job.ID)
	}
	c.checkDependentStatus(job, st.Phase)
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
func (c *checker) checkCancelledTask(machine *machineAgent, task *agentTask) {
	job := c.env.jobs[task.jobID]
	since := job.cancelConfirmed
	if _, told := c.dependencyCancelled(job); since.IsZero() || (!told.IsZero() && told.Before(since)) {
		since = told
	}
	if !since.IsZero() && time.Since(since).Seconds() > c.env.Cfg.Workers.CancelS && task.onMachine() {
		c.addViolation("ran_cancelled: %s/%d on %s", task.jobID, task.index, machine.id)
	}
}

func (c *checker) checkCancelled() {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	for _, machine := range c.env.machines {
		for _, task := range machine.tasks {
			c.checkCancelledTask(machine, task)
		}
	}
}

// EndTroubles says that all troubles are over: from now on no job may be left waiting.
func (c *checker) EndTroubles() {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	c.faultsEnded = true
}

// maxWaitWithCapacity is how long a job may wait beside a machine that fits and has room,
// as the operators say.
const maxWaitWithCapacity = 90 * time.Second

// checkWaiting judges the jobs that wait although there is room. Gangs, for which
// much must be free at once, are not among them.
func (c *checker) checkWaiting() {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	if !c.faultsEnded {
		return
	}
	for _, job := range c.env.jobs {
		if !job.accepted || job.job.Kind == protocol.KindGang || !c.isStartable(job) || !c.hasCapacityFor(job) {
			job.waitingSince = time.Time{}
			continue
		}
		if job.waitingSince.IsZero() {
			job.waitingSince = time.Now()
		}
		if d := time.Since(job.waitingSince); d > maxWaitWithCapacity {
			c.addViolation("left waiting: %s beside room for %v", job.job.ID, d)
			job.waitingSince = time.Now()
		}
	}
}

// hasCapacityFor tells whether a task of a job waits while a machine could take it.
func (c *checker) hasCapacityFor(job *userJob) bool {
	spec := &job.job
	placed, zones := 0, map[string]int{}
	var cores, gpus float64
	for _, machine := range c.env.machines {
		for _, task := range machine.tasks {
			if task.state == protocol.TaskExited {
				continue
			}
			otherJob := &c.env.jobs[task.jobID].job
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
	for _, team := range c.env.Cfg.Teams {
		if team.Name == spec.Team && ((team.CoresMax > 0 && cores+spec.Cores > team.CoresMax+1e-6) || (team.GPUsMax > 0 && gpus+spec.GPUs > team.GPUsMax+1e-6)) {
			return false
		}
	}
	for _, machine := range c.env.machines {
		if !machine.up || machine.hung || !machine.preemptionAt.IsZero() || (machine.spot && !spec.Spot) || (spec.Zone != "" && spec.Zone != machine.zone) ||
			(len(spec.MachineTypes) > 0 && !slices.Contains(spec.MachineTypes, machine.machineType.Name)) ||
			(spec.OneZone && len(zones) > 0 && zones[machine.zone] == 0) || (spec.Spread && zones[machine.zone]+1 > (spec.Tasks+1)/2) {
			continue
		}
		free := machine.machineType
		for _, task := range machine.tasks {
			if task.state != protocol.TaskExited {
				otherJob := &c.env.jobs[task.jobID].job
				free.Cores, free.GPUs, free.MemGB = free.Cores-otherJob.Cores, free.GPUs-otherJob.GPUs, free.MemGB-otherJob.MemGB
			}
		}
		if spec.Cores <= free.Cores+1e-6 && spec.GPUs <= free.GPUs+1e-6 && spec.MemGB <= free.MemGB+1e-6 {
			return true
		}
	}
	return false
}
