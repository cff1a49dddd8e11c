package fake

import (
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// dependenciesOf lists the direct and indirect dependencies of a job.
func (c *checker) dependenciesOf(job *userJob) []*userJob {
	var dependencies []*userJob
	seen := map[protocol.JobID]bool{}
	remaining := job.spec.DependsOn
	for len(remaining) > 0 {
		jobID := remaining[0]
		remaining = remaining[1:]
		if dependency := c.env.jobs[jobID]; dependency != nil && !seen[jobID] {
			seen[jobID] = true
			dependencies = append(dependencies, dependency)
			remaining = append(remaining, dependency.spec.DependsOn...)
		}
	}
	return dependencies
}

// MayFinish reports whether no user has requested to cancel the job or a dependency of it.
func (c *checker) MayFinish(jobID protocol.JobID) bool {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	requested, _ := c.dependencyCancelled(c.env.jobs[jobID])
	return !requested && !c.env.jobs[jobID].cancelRequested
}

// dependenciesDone reports whether all dependencies of a job are done. A dependency that was
// confirmed as cancelled at its user's request is never done, even if all its tasks are complete.
func (c *checker) dependenciesDone(job *userJob) bool {
	for _, dependency := range c.dependenciesOf(job) {
		if !dependency.complete() || !dependency.ownCancelConfirmed.IsZero() {
			return false
		}
	}
	return true
}

// isStartable reports whether a job may start, the controllers can know it, and no cancellation
// can still prevent the start. A dependency can be cancelled after its last task has completed
// but before the controllers have recorded the completion. A completion can also be lost with its
// machine; the controllers then know it only once the task has been started again.
func (c *checker) isStartable(job *userJob) bool {
	for _, dependency := range c.dependenciesOf(job) {
		if dependency.cancelRequested && !dependency.doneConfirmed || !c.isClosed(dependency) {
			return false
		}
	}
	return !job.cancelRequested && c.dependenciesDone(job)
}

// isClosed reports whether the store holds the job's final record.
func (c *checker) isClosed(job *userJob) bool {
	c.env.Store.mu.Lock()
	defer c.env.Store.mu.Unlock()
	_, closed := c.env.Store.keys[records.FinalKey(job.spec.ID)]
	return closed
}

// dependencyCancelled reports whether a user has requested to cancel a dependency of the job, and
// when the first such cancellation was confirmed (the zero time if none was).
func (c *checker) dependencyCancelled(job *userJob) (requested bool, confirmedAt time.Time) {
	for _, dependency := range c.dependenciesOf(job) {
		requested = requested || dependency.cancelRequested
		if cancelledAt := dependency.ownCancelConfirmed; !cancelledAt.IsZero() && (confirmedAt.IsZero() || cancelledAt.Before(confirmedAt)) {
			confirmedAt = cancelledAt
		}
	}
	return requested, confirmedAt
}

// checkDependentStatus checks that no answer calls a job queued or running later than the limit
// CancelS after a dependency of the job was confirmed as cancelled.
func (c *checker) checkDependentStatus(job *userJob, phase protocol.JobPhase) {
	if phase != protocol.PhaseQueued && phase != protocol.PhaseRunning {
		return
	}
	_, confirmedAt := c.dependencyCancelled(job)
	if confirmedAt.IsZero() {
		return
	}
	if elapsed := time.Since(confirmedAt); elapsed.Seconds() > c.env.Cfg.Workers.CancelS {
		c.addViolation("orphaned: %s is called %s %v after a job that it needs was cancelled", job.spec.ID, phase, elapsed)
	}
}
