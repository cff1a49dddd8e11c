package fake

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
)

// checkInterval is the time between two periodic checks of all machines and jobs.
const checkInterval = 200 * time.Millisecond

// checker compares the answers to users and the tasks on machines with the rules, and records
// each violation. It checks task starts and answers to users as they happen, and all machines
// and jobs periodically. It reads the fakes' own state, never the controllers'.
type checker struct {
	env                 *Environment
	maxStartAfterCancel time.Duration // the longest time from a job's confirmed cancellation to a start of its tasks
	runRecords          *runRecordReader
	violations          []string
	faultsEnded         bool // the test causes no more faults
}

// checkPeriodically finds violations that happen without a message, such as a task that runs for
// too long after its job was cancelled.
func (c *checker) checkPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(checkInterval)
		c.checkCancelled()
		c.checkRunRecords()
		c.checkWaiting()
	}
}

// Violations lists the violations so far. Each text starts with the name of its rule.
func (c *checker) Violations() []string {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	return slices.Clone(c.violations)
}

// MaxStartAfterCancel returns the longest time from a job's confirmed cancellation to a start
// of its tasks.
func (c *checker) MaxStartAfterCancel() time.Duration {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	return c.maxStartAfterCancel
}

// addViolation records a violation. The caller holds the mutex.
func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkStart checks a task that starts to occupy a machine against all rules for starts.
func (c *checker) checkStart(machine *machineAgent, task *agentTask) {
	job := c.env.jobs[task.jobID]
	others := c.collectOtherTasks(task)
	c.checkRanTwice(machine, task, others.sameTask)
	c.checkQuota(machine, task, others.teamCores, others.teamGPUs)
	c.checkPlacement(machine, task, others.jobZones)
	if !job.accepted && !job.submitted {
		c.addViolation("invented: %s runs", task.jobID)
	}
	if !c.dependenciesDone(job) {
		c.addViolation("too_early: %s/%d on %s at %v", task.jobID, task.index, machine.id, time.Now())
	}
	if !job.cancelConfirmed.IsZero() {
		c.maxStartAfterCancel = max(c.maxStartAfterCancel, time.Since(job.cancelConfirmed))
	}
	c.checkCancelledTask(machine, task)
}

// taskOnMachine is a task with the machine that holds it.
type taskOnMachine struct {
	machine *machineAgent
	task    *agentTask
}

// otherTasks sums up the tasks that occupy machines, except the one that starts.
type otherTasks struct {
	sameTask            []taskOnMachine // other attempts of the same task
	jobZones            map[string]int  // tasks of its job by zone
	teamCores, teamGPUs float64         // what its team uses
}

// collectOtherTasks collects the values for all rules in one pass over the machines, because tests
// have thousands of machines.
func (c *checker) collectOtherTasks(task *agentTask) otherTasks {
	others := otherTasks{jobZones: map[string]int{}}
	team := c.env.jobs[task.jobID].spec.Team
	for _, machine := range c.env.machines {
		for _, other := range machine.tasks {
			if !other.occupiesMachine() || other == task {
				continue
			}
			if other.jobID == task.jobID {
				others.jobZones[machine.zone]++
				if other.index == task.index {
					others.sameTask = append(others.sameTask, taskOnMachine{machine, other})
				}
			}
			if spec := &c.env.jobs[other.jobID].spec; spec.Team == team {
				others.teamCores += spec.Cores
				others.teamGPUs += spec.GPUs
			}
		}
	}
	return others
}

// checkRanTwice checks that at most one attempt of a task occupies a machine at any time.
func (c *checker) checkRanTwice(machine *machineAgent, task *agentTask, sameTask []taskOnMachine) {
	for _, other := range sameTask {
		c.addViolation("ran_twice: %s/%d attempt %d on %s since %v and attempt %d on %s (hung %v, up %v, incarnation %d) at %v",
			task.jobID, task.index, other.task.attempt, other.machine.id, other.task.stateSince, task.attempt, machine.id,
			other.machine.hung, other.machine.up, other.machine.incarnation, time.Now())
	}
}

// checkQuota checks that the tasks of a team stay within its quota limits.
func (c *checker) checkQuota(machine *machineAgent, task *agentTask, usedCores, usedGPUs float64) {
	spec := &c.env.jobs[task.jobID].spec
	cores, gpus := usedCores+spec.Cores, usedGPUs+spec.GPUs
	for _, team := range c.env.Cfg.Teams {
		if team.Name == spec.Team && exceedsQuota(&team, cores, gpus) {
			c.addViolation("quota: %s with %s/%d on %s: %v of %v cores, %v of %v GPUs at %v",
				spec.Team, task.jobID, task.index, machine.id, cores, team.CoresMax, gpus, team.GPUsMax, time.Now())
		}
	}
}

// exceedsQuota reports whether the given use exceeds a team's limits. A limit of 0 means no limit.
func exceedsQuota(team *config.Team, cores, gpus float64) bool {
	return (team.CoresMax > 0 && cores > team.CoresMax+capacityTolerance) ||
		(team.GPUsMax > 0 && gpus > team.GPUsMax+capacityTolerance)
}

// checkPlacement checks that a task runs on a machine that its job accepts, and that the job's
// tasks share a zone or spread over zones as the job requires.
func (c *checker) checkPlacement(machine *machineAgent, task *agentTask, otherZones map[string]int) {
	spec := &c.env.jobs[task.jobID].spec
	zones := maps.Clone(otherZones)
	zones[machine.zone]++
	inSeveralZones := spec.OneZone && len(zones) > 1
	tooManyInZone := spec.Spread && zones[machine.zone] > maxTasksInZone(spec)
	if !machine.isAllowedFor(spec) || inSeveralZones || tooManyInZone {
		c.addViolation("wrong_place: %s/%d on %s", task.jobID, task.index, machine.id)
	}
}

// maxTasksInZone returns how many tasks of a job that spreads over zones may be in one zone: half
// of them, rounded up.
func maxTasksInZone(spec *protocol.Job) int { return (spec.Tasks + 1) / 2 }

// checkJobStatus checks that a job's status is correct, and that it never changes again after
// the user received done or cancelled. The argument before is the job's state before the
// request was sent. Answers that arrived after that time do not count, because answers can
// arrive out of order.
func (c *checker) checkJobStatus(job *userJob, before userJob, jobStatus protocol.JobStatus) {
	switch {
	case before.doneConfirmed && jobStatus.Phase != protocol.PhaseDone, !before.cancelConfirmed.IsZero() && jobStatus.Phase != protocol.PhaseCancelled:
		c.addViolation("went_back: %s is called %s", job.spec.ID, jobStatus.Phase)
	case jobStatus.Phase == protocol.PhaseCancelled && !job.cancelRequested:
		if requested, _ := c.dependencyCancelled(job); !requested {
			c.addViolation("went_back: %s is called cancelled, its user did not ask", job.spec.ID)
		}
	case jobStatus.Phase == protocol.PhaseDone && len(job.finished) < job.spec.Tasks:
		c.addViolation("not_done: %s is called done", job.spec.ID)
	}
	c.checkDependentStatus(job, jobStatus.Phase)
	if jobStatus.Phase == protocol.PhaseDone {
		job.doneConfirmed = true
	}
	if jobStatus.Phase == protocol.PhaseCancelled && job.cancelConfirmed.IsZero() {
		job.cancelConfirmed = time.Now()
	}
	if jobStatus.Phase == protocol.PhaseCancelled && job.cancelRequested && job.ownCancelConfirmed.IsZero() {
		job.ownCancelConfirmed = time.Now()
	}
}

// checkCancelledTask checks that a task does not occupy its machine for longer than the limit
// CancelS after its job, or a dependency of the job, was confirmed as cancelled.
func (c *checker) checkCancelledTask(machine *machineAgent, task *agentTask) {
	job := c.env.jobs[task.jobID]
	since := job.cancelConfirmed
	if _, confirmedAt := c.dependencyCancelled(job); since.IsZero() || (!confirmedAt.IsZero() && confirmedAt.Before(since)) {
		since = confirmedAt
	}
	if !since.IsZero() && time.Since(since).Seconds() > c.env.Cfg.Workers.CancelS && task.occupiesMachine() {
		c.addViolation("ran_cancelled: %s/%d on %s", task.jobID, task.index, machine.id)
	}
}

// checkCancelled applies checkCancelledTask to the tasks of all machines.
func (c *checker) checkCancelled() {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	for _, machine := range c.env.machines {
		for _, task := range machine.tasks {
			c.checkCancelledTask(machine, task)
		}
	}
}
