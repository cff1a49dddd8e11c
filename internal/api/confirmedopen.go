package api

import (
	"sync"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// confirmedOpenJobs caches when each job was last confirmed open, which means that the job
// was accepted and that neither the job nor any of its direct and indirect dependencies was
// cancelled. A full cache is emptied. It is safe for concurrent use.
type confirmedOpenJobs struct {
	validFor time.Duration // how long a confirmation may be relied on

	mu          sync.Mutex
	confirmedAt map[protocol.JobID]time.Time
}

func newConfirmedOpenJobs(validFor time.Duration) *confirmedOpenJobs {
	return &confirmedOpenJobs{validFor: validFor, confirmedAt: map[protocol.JobID]time.Time{}}
}

// dependencyValidity returns how long a controller relies on a read of a job's
// dependencies.
func dependencyValidity(cfg *config.Config) time.Duration {
	return cfg.Deployment.Workers.CancellationShare(tuning.DependencyCheckShare)
}

// confirm records that a job was open at the given time.
func (c *confirmedOpenJobs) confirm(jobID protocol.JobID, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.confirmedAt) >= tuning.JobCacheSize {
		clear(c.confirmedAt)
	}
	c.confirmedAt[jobID] = at
}

// lastConfirmation returns when a job was last confirmed open; ok is false if that is
// validFor ago or longer. The leader closes a job soon after one of its dependencies is
// cancelled. The limit covers the case that the leader cannot do so: the other controllers
// must then detect the cancellation within cancel_s.
func (c *confirmedOpenJobs) lastConfirmation(jobID protocol.JobID) (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at = c.confirmedAt[jobID]
	return at, time.Since(at) < c.validFor
}

// remove deletes the confirmation of a job whose cancellation is about to be acknowledged.
func (c *confirmedOpenJobs) remove(jobID protocol.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.confirmedAt, jobID)
}
