package api

import (
	"sync"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// finalStatuses caches the statuses of jobs that have a final record. Such a status never
// changes, so entries do not expire. A full cache is emptied. It is safe for concurrent
// use.
type finalStatuses struct {
	mu       sync.Mutex
	statuses map[protocol.JobID]protocol.JobStatus
}

func newFinalStatuses() *finalStatuses {
	return &finalStatuses{statuses: map[protocol.JobID]protocol.JobStatus{}}
}

func (f *finalStatuses) get(jobID protocol.JobID) (protocol.JobStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	status, ok := f.statuses[jobID]
	return status, ok
}

func (f *finalStatuses) put(status protocol.JobStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.statuses) >= tuning.JobCacheSize {
		clear(f.statuses)
	}
	f.statuses[status.ID] = status
}
