package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

// StoreFaults is what a test makes go wrong with the store's calls.
type StoreFaults struct {
	// LoseReply picks applied commits that are not answered.
	LoseReply func() bool
	// Fault picks what goes wrong with a commit, before its conditions are looked at.
	Fault func(transaction *protocol.Transaction) Fault
	// Late picks commits that get no answer and are carried out so much later,
	// after newer ones; 0: not this one.
	Late func() time.Duration
	// Slow is how long a call waits before it is worked on, by path.
	Slow func(path string) time.Duration
	// LoseEvent picks keys whose changes follow calls do not see.
	LoseEvent func(key string) bool

	unavailable map[string]bool // hosts that get 503; "" for all
}

// Fault is what goes wrong with a commit.
type Fault int

// The faults of a commit.
const (
	None        Fault = iota
	AnswerLost        // it is carried out, and its answer is lost
	NotExecuted       // it is lost on its way: neither carried out nor answered
	OverLimit         // it is refused with 400
	Throttled         // it is refused with 429
)

// Refuse makes the service answer 503 to a host, or to all with "". When that
// ends, every lease has its full time again.
func (s *Store) Refuse(host string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.unavailable[host] = true
		return
	}
	delete(s.unavailable, host)
	if host == "" {
		for _, lease := range s.leases {
			lease.expires = time.Now().Add(lease.ttl)
		}
	}
}

// isUnavailableTo tells whether the service answers 503 to a host.
func (f *StoreFaults) isUnavailableTo(host string) bool {
	return f.unavailable[""] || f.unavailable[host]
}
