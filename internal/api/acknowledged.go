package api

import (
	"sync"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// acknowledgedCancellations remembers the jobs whose cancellation this process has
// acknowledged to users, the latest tuning.AcknowledgedJobs of them. A leader without the
// key-value store that knows the lists of all controllers may go on answering heartbeats.
// A job is added before the reply leaves, so the list is never shorter than it claims.
// It is safe for concurrent use.
type acknowledgedCancellations struct {
	mu              sync.Mutex
	listed          map[protocol.JobID]bool
	acknowledgments []acknowledgment // in the order of their acknowledgments
	completeSince   time.Time        // no acknowledgment after this time is missing
}

// acknowledgment is the first reply that told a user of a job's cancellation.
type acknowledgment struct {
	jobID protocol.JobID
	at    time.Time
}

// newAcknowledgedCancellations begins a list at the start of the process. An earlier
// process of this controller may have acknowledged cancellations until just before.
func newAcknowledgedCancellations(start time.Time) *acknowledgedCancellations {
	return &acknowledgedCancellations{listed: map[protocol.JobID]bool{}, completeSince: start}
}

// add notes a job whose cancellation is about to be acknowledged.
func (a *acknowledgedCancellations) add(jobID protocol.JobID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.listed[jobID] {
		return // the time limit cancel_s counts from the first acknowledgment
	}
	if len(a.acknowledgments) >= tuning.AcknowledgedJobs {
		a.completeSince = a.acknowledgments[0].at
		delete(a.listed, a.acknowledgments[0].jobID)
		a.acknowledgments = a.acknowledgments[1:]
	}
	a.listed[jobID] = true
	a.acknowledgments = append(a.acknowledgments, acknowledgment{jobID, time.Now()})
}

// list returns the jobs and the time since which the list is complete.
func (a *acknowledgedCancellations) list() (jobIDs []protocol.JobID, since time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	jobIDs = make([]protocol.JobID, len(a.acknowledgments))
	for i, acknowledged := range a.acknowledgments {
		jobIDs[i] = acknowledged.jobID
	}
	return jobIDs, a.completeSince
}
