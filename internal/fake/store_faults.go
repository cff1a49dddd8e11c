package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

// storeFaults is what a test makes go wrong with the store's calls. All functions but slow are
// called with the store's mutex held, so they must not call the store.
type storeFaults struct {
	loseReply        func() bool
	fault            func(transaction *protocol.Transaction) Fault
	commitDelay      func() time.Duration
	callDelay        func(path string) time.Duration
	loseEvent        func(key string) bool
	unavailableHosts map[string]bool // hosts that get 503; "" stands for all hosts
}

// SetLoseReply sets a function that picks transactions that are carried out and not answered.
func (s *Store) SetLoseReply(loseReply func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseReply = loseReply
}

// SetFault sets a function that picks what goes wrong with a transaction, before its
// preconditions are checked.
func (s *Store) SetFault(fault func(transaction *protocol.Transaction) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetLate sets a function that returns by how much a transaction, which then gets no answer, is
// carried out late; 0: not late.
func (s *Store) SetLate(commitDelay func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitDelay = commitDelay
}

// SetSlow sets a function that returns how long a call on a path waits before it is handled. It
// is called without the store's mutex, and by several goroutines at a time.
func (s *Store) SetSlow(callDelay func(path string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callDelay = callDelay
}

// currentCallDelay returns the function that SetSlow has set, or nil.
func (s *Store) currentCallDelay() func(path string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callDelay
}

// SetLoseEvent sets a function that picks keys whose changes watches do not see.
func (s *Store) SetLoseEvent(loseEvent func(key string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseEvent = loseEvent
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
func (s *Store) Refuse(host string, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if unavailable {
		s.unavailableHosts[host] = true
		return
	}
	delete(s.unavailableHosts, host)
	if host == "" {
		for _, lease := range s.leases {
			lease.expires = time.Now().Add(lease.ttl)
		}
	}
}

// isUnavailableTo tells whether the store answers 503 to a host.
func (f *storeFaults) isUnavailableTo(host string) bool {
	return f.unavailableHosts[""] || f.unavailableHosts[host]
}
