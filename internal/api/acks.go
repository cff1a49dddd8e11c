package api

import (
	"sync"
	"time"

	"marblehaven/internal/tuning"
)

// acknowledged remembers the jobs that this process has told users are cancelled,
// the latest tuning.AckJobs of them. A leader without state service that knows
// them all may go on answering workers. A job is added before the answer leaves,
// so the list never claims too much.
type acknowledged struct {
	mu    sync.Mutex
	has   map[string]bool
	jobs  []ack     // in the order of their first acknowledgment
	since time.Time // of all first acknowledged after it none is missing
}

type ack struct {
	ref string
	at  time.Time
}

// newAcknowledged begins a list. An earlier process of this node may have told
// users anything until just before the start.
func newAcknowledged(start time.Time) acknowledged {
	return acknowledged{has: map[string]bool{}, since: start}
}

func (a *acknowledged) add(ref string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.has[ref] {
		return // only the first acknowledgment starts cancel_s
	}
	if len(a.jobs) >= tuning.AckJobs {
		a.since = a.jobs[0].at
		delete(a.has, a.jobs[0].ref)
		a.jobs = a.jobs[1:]
	}
	a.has[ref] = true
	a.jobs = append(a.jobs, ack{ref, time.Now()})
}

func (a *acknowledged) list() (refs []string, since time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	refs = make([]string, len(a.jobs))
	for i, k := range a.jobs {
		refs[i] = k.ref
	}
	return refs, a.since
}
