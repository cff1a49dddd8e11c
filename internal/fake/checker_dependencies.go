package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

// dependenciesOf lists the jobs that a job needs, directly or through others.
func (c *checker) dependenciesOf(job *userJob) []*userJob {
	var out []*userJob
	seen := map[protocol.JobID]bool{}
	work := job.job.DependsOn
	for len(work) > 0 {
		jobID := work[0]
		work = work[1:]
		if dependency := c.env.jobs[jobID]; dependency != nil && !seen[jobID] {
			seen[jobID] = true
			out = append(out, dependency)
			work = append(work, dependency.job.DependsOn...)
		}
	}
	return out
}

// MayFinish tells whether no user has asked to cancel the job or one that it needs.
func (c *checker) MayFinish(jobID protocol.JobID) bool {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	asked, _ := c.dependencyCancelled(c.env.jobs[jobID])
	return !asked && !c.env.jobs[jobID].cancelRequested
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
func (c *checker) dependencyCancelled(job *userJob) (asked bool, told time.Time) {
	for _, dependency := range c.dependenciesOf(job) {
		asked = asked || dependency.cancelRequested
		if t := dependency.ownCancelConfirmed; !t.IsZero() && (told.IsZero() || t.Before(told)) {
			told = t
		}
	}
	return asked, told
}

// checkDependentStatus judges what the user of a job that needs others is told.
func (c *checker) checkDependentStatus(job *userJob, phase protocol.JobPhase) {
	if phase != protocol.PhaseQueued && phase != protocol.PhaseRunning {
		return
	}
	_, told := c.dependencyCancelled(job)
	if told.IsZero() {
		return
	}
	if late := time.Since(told); late.Seconds() > c.env.Cfg.Workers.CancelS {
		c.addViolation("orphaned: %s is called %s %v after a job that it needs was cancelled", job.job.ID, phase, late)
	}
}
