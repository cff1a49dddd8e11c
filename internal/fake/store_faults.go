package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

// storeFaults holds the faults that a test injects into the store's calls. All functions except
// callDelay are called with the store's mutex held, so they must not call the store.
type storeFaults struct {
	loseReply        func() bool
	fault            func(transaction *protocol.Transaction) Fault
	executionDelay   func() time.Duration
	callDelay        func(path string) time.Duration
	loseEvent        func(key string) bool
	unavailableHosts map[string]bool // hosts that get 503; "" stands for all hosts
}

// SetLoseReply sets a function that selects transactions that are carried out but whose answers
// are lost.
func (s *Store) SetLoseReply(loseReply func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseReply = loseReply
}

// SetFault sets a function that returns the fault of a transaction. The function is called before
// the transaction's preconditions are checked.
func (s *Store) SetFault(fault func(transaction *protocol.Transaction) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetExecutionDelay sets a function that returns the delay after which a transaction is carried
// out; 0: no delay. A delayed transaction is answered at once with a gateway error, so that its
// sender cannot determine the outcome.
func (s *Store) SetExecutionDelay(executionDelay func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executionDelay = executionDelay
}

// SetCallDelay sets a function that returns how long a call on a path waits before it is
// handled. The function is called without the store's mutex, and by several goroutines at the
// same time.
func (s *Store) SetCallDelay(callDelay func(path string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callDelay = callDelay
}

// currentCallDelay returns the function for the delay of calls, or nil.
func (s *Store) currentCallDelay() func(path string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callDelay
}

// SetLoseEvent sets a function that selects the keys whose changes watches do not report.
func (s *Store) SetLoseEvent(loseEvent func(key string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseEvent = loseEvent
}

// Fault is a fault that a test injects into a transaction.
type Fault int

// The faults of a transaction.
const (
	NoFault     Fault = iota
	AnswerLost        // the transaction is carried out, and its answer is lost
	NotExecuted       // the request is lost: the transaction is neither carried out nor answered
	OverLimit         // the transaction is refused with 400
	Throttled         // the transaction is refused with 429
)

// SetUnavailable starts an outage, or ends it if unavailable is false. During an outage the
// store answers 503 to a host, or to all hosts if host is "". When an outage for all hosts
// ends, every lease gets its full time to live again, as the protocol guarantees.
func (s *Store) SetUnavailable(host string, unavailable bool) {
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

// isUnavailableTo reports whether the store answers 503 to a host.
func (f *storeFaults) isUnavailableTo(host string) bool {
	return f.unavailableHosts[""] || f.unavailableHosts[host]
}
