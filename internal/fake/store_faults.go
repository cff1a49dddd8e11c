package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

// StoreFaults is what a test makes go wrong with the store's calls.
type StoreFaults struct {
	// LoseReply picks transactions that are carried out and not answered.
	LoseReply func() bool
	// Fault picks what goes wrong with a transaction, before its preconditions are checked.
	Fault func(transaction *protocol.Transaction) Fault
	// Late returns by how much a transaction, which then gets no answer, is carried out
	// late; 0: not late.
	Late func() time.Duration
	// Slow returns how long a call on a path waits before it is handled.
	Slow func(path string) time.Duration
	// LoseEvent picks keys whose changes watches do not see.
	LoseEvent func(key string) bool

	unavailable map[string]bool // hosts that get 503; "" stands for all hosts
}

// Fault is what goes wrong with a transaction.
type Fault int

// The faults of a transaction.
const (
	None        Fault = iota
	AnswerLost        // the transaction is carried out, and its answer is lost
	NotExecuted       // the request is lost: the transaction is neither carried out nor answered
	OverLimit         // the transaction is refused with 400
	Throttled         // the transaction is refused with 429
)

// Refuse makes the store answer 503 to a host, or to all hosts with "", until it is called
// again with false. When an outage for all hosts ends, every lease has its full time to live
// again, as the protocol promises.
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

// isUnavailableTo tells whether the store answers 503 to a host.
func (f *StoreFaults) isUnavailableTo(host string) bool {
	return f.unavailable[""] || f.unavailable[host]
}
