package fake

import (
	"time"

	"golang.org/x/time/rate"

	"marblehaven/internal/config"
)

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
		for _, l := range s.leases {
			l.expires = time.Now().Add(l.ttl)
		}
	}
}

// Limit makes the limits smaller from now on, without notice.
func (s *Store) Limit(l config.StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limitsLowered = true
	s.MaxOps, s.MaxValue = l.TxnOps, l.ValueBytes()
	s.writeRate = rate.NewLimiter(rate.Limit(l.WriteRPS), int(l.WriteRPS))
}

// LimitRequests sets how many requests a second are served.
func (s *Store) LimitRequests(rps float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestRate = rate.NewLimiter(rate.Limit(rps), int(rps))
}

// Asked is how many requests there were, and how many of them were throttled.
func (s *Store) Asked() (requests, throttled int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCount, s.throttledCount
}
