package api

import (
	"sync"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// confirmedOpenJobs remembers when a job was last confirmed open: it was accepted, and
// neither the job nor any of its dependencies, direct or indirect, was cancelled. When
// the memory is full it is emptied. It is safe for concurrent use.
type confirmedOpenJobs struct {
	validFor time.Duration // how long a confirmation may be relied on

	mu          sync.Mutex
	confirmedAt map[protocol.JobID]time.Time
}

func newConfirmedOpenJobs(validFor time.Duration) *confirmedOpenJobs {
	return &confirmedOpenJobs{validFor: validFor, confirmedAt: map[protocol.JobID]time.Time{}}
}

// dependencyValidity is how long a controller relies on what it read of dependencies.
func dependencyValidity(cfg *config.Config) time.Duration {
	return cfg.Deployment.Workers.CancellationShare(tuning.DependencyCheckShare)
}

// confirm remembers that a job was open at some time.
func (c *confirmedOpenJobs) confirm(jobID protocol.JobID, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.confirmedAt) >= tuning.FinalStatusCacheSize {
		clear(c.confirmedAt)
	}
	c.confirmedAt[jobID] = at
}

// lastConfirmation returns when a job was last confirmed open, if that may still be relied on. The
// leader closes a job soon after a dependency is cancelled; the limit serves the case
// that it cannot, when other controllers must find out in time for cancel_s.
func (c *confirmedOpenJobs) lastConfirmation(jobID protocol.JobID) (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at = c.confirmedAt[jobID]
	return at, time.Since(at) < c.validFor
}

// remove drops the confirmation of a job whose cancellation is about to be acknowledged.
func (c *confirmedOpenJobs) remove(jobID protocol.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.confirmedAt, jobID)
}
