package api

import (
	"sync"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// acknowledgedCancellations lists the jobs whose cancellation this process has acknowledged
// to users, limited to the latest tuning.AcknowledgedJobs. A leader that cannot reach the
// key-value store may continue to answer heartbeats if it has the lists of all controllers.
// A job is added before the reply is sent, so the list contains every acknowledgment after
// completeSince. It is safe for concurrent use.
type acknowledgedCancellations struct {
	mu              sync.Mutex
	listed          map[protocol.JobID]bool
	acknowledgments []acknowledgment // the oldest first
	completeSince   time.Time        // no acknowledgment after this time is missing
}

// acknowledgment records the first reply that reported a job to a user as cancelled.
type acknowledgment struct {
	jobID protocol.JobID
	at    time.Time
}

// newAcknowledgedCancellations returns an empty list that is complete since the start of
// the process. An earlier process of this controller may have acknowledged cancellations
// until just before that time.
func newAcknowledgedCancellations(start time.Time) *acknowledgedCancellations {
	return &acknowledgedCancellations{listed: map[protocol.JobID]bool{}, completeSince: start}
}

// add records a job whose cancellation is about to be acknowledged to a user.
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
