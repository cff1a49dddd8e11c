package api

import (
	"sync"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// acknowledgedCancellations remembers the jobs that this process has told users are cancelled,
// the latest tuning.AcknowledgedJobs of them. A leader without state service that knows
// them all may go on answering workers. A job is added before the answer leaves,
// so the list never claims too much.
type acknowledgedCancellations struct {
	mu            sync.Mutex
	known         map[protocol.JobID]bool
	jobs          []acknowledgment // in the order of their first acknowledgment
	completeSince time.Time        // of all first acknowledged after it none is missing
}

type acknowledgment struct {
	jobID protocol.JobID
	at    time.Time
}

// newAcknowledgedCancellations begins a list. An earlier process of this node may have told
// users anything until just before the start.
func newAcknowledgedCancellations(start time.Time) *acknowledgedCancellations {
	return &acknowledgedCancellations{known: map[protocol.JobID]bool{}, completeSince: start}
}

func (a *acknowledgedCancellations) add(jobID protocol.JobID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known[jobID] {
		return // only the first acknowledgment starts cancel_s
	}
	if len(a.jobs) >= tuning.AcknowledgedJobs {
		a.completeSince = a.jobs[0].at
		delete(a.known, a.jobs[0].jobID)
		a.jobs = a.jobs[1:]
	}
	a.known[jobID] = true
	a.jobs = append(a.jobs, acknowledgment{jobID, time.Now()})
}

func (a *acknowledgedCancellations) list() (jobIDs []protocol.JobID, since time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	jobIDs = make([]protocol.JobID, len(a.jobs))
	for i, acknowledged := range a.jobs {
		jobIDs[i] = acknowledged.jobID
	}
	return jobIDs, a.completeSince
}
