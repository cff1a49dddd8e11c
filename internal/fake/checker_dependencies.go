package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

// dependenciesOf lists the jobs that a job needs, directly or through others.
func (c *checker) dependenciesOf(job *userJob) []*userJob {
	var dependencies []*userJob
	seen := map[protocol.JobID]bool{}
	remaining := job.job.DependsOn
	for len(remaining) > 0 {
		jobID := remaining[0]
		remaining = remaining[1:]
		if dependency := c.env.jobs[jobID]; dependency != nil && !seen[jobID] {
			seen[jobID] = true
			dependencies = append(dependencies, dependency)
			remaining = append(remaining, dependency.job.DependsOn...)
		}
	}
	return dependencies
}

// MayFinish tells whether no user has asked to cancel the job or one that it needs.
func (c *checker) MayFinish(jobID protocol.JobID) bool {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	requested, _ := c.dependencyCancelled(c.env.jobs[jobID])
	return !requested && !c.env.jobs[jobID].cancelRequested
}

// dependenciesDone tells whether all jobs that a job needs are done: one whose user was told
// that it is cancelled never is, though all its tasks may be complete.
func (c *checker) dependenciesDone(job *userJob) bool {
	for _, dependency := range c.dependenciesOf(job) {
		if !dependency.complete() || !dependency.ownCancelConfirmed.IsZero() {
			return false
		}
	}
	return true
}

// isStartable tells whether a job may start and nothing has cancelled it: one that it
// needs may be cancelled after its last task is done and before that is recorded.
func (c *checker) isStartable(job *userJob) bool {
	for _, dependency := range c.dependenciesOf(job) {
		if dependency.cancelRequested && !dependency.doneConfirmed {
			return false
		}
	}
	return !job.cancelRequested && c.dependenciesDone(job)
}

// dependencyCancelled tells whether a user has asked to cancel a job that this one
// needs, and since when one was told that it is; zero: none was.
func (c *checker) dependencyCancelled(job *userJob) (requested bool, confirmedAt time.Time) {
	for _, dependency := range c.dependenciesOf(job) {
		requested = requested || dependency.cancelRequested
		if cancelledAt := dependency.ownCancelConfirmed; !cancelledAt.IsZero() && (confirmedAt.IsZero() || cancelledAt.Before(confirmedAt)) {
			confirmedAt = cancelledAt
		}
	}
	return requested, confirmedAt
}

// checkDependentStatus judges what the user of a job that needs others is told.
func (c *checker) checkDependentStatus(job *userJob, phase protocol.JobPhase) {
	if phase != protocol.PhaseQueued && phase != protocol.PhaseRunning {
		return
	}
	_, confirmedAt := c.dependencyCancelled(job)
	if confirmedAt.IsZero() {
		return
	}
	if late := time.Since(confirmedAt); late.Seconds() > c.env.Cfg.Workers.CancelS {
		c.addViolation("orphaned: %s is called %s %v after a job that it needs was cancelled", job.job.ID, phase, late)
	}
}
