package fake

import (
	"time"

	"golang.org/x/time/rate"

	"marblehaven/internal/config"
)

// storeLimits holds the store's limits, and counts the requests that the store refused.
type storeLimits struct {
	// maxOps and maxValue limit a transaction's mutations and the bytes of a value; 0: no limit.
	maxOps, maxValue int
	// maxPageSize is how many keys a page of a list has at most; 0: as many as the protocol allows.
	maxPageSize int
	// refusals counts the transactions that were refused because of a limit, by status.
	refusals map[int]int

	// limitsLowered is set once the limits were lowered without notice. From then on a
	// transaction beyond a limit gets 400, and one beyond the rate of writes gets 429.
	limitsLowered bool
	writeRate     *rate.Limiter
	// requestRate limits the requests; nil: no limit. requestCount counts all of them, and
	// throttledCount those beyond the limit.
	requestRate                  *rate.Limiter
	requestCount, throttledCount int
}

// LowerLimits lowers the limits while the test runs, without notice to the controllers.
func (s *Store) LowerLimits(limits config.StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limitsLowered = true
	s.maxOps, s.maxValue = limits.TxnOps, limits.ValueBytes()
	s.writeRate = rate.NewLimiter(rate.Limit(limits.WriteRPS), int(limits.WriteRPS))
}

// SetMaxPageSize sets how many keys a page of a list has at most; 0: as many as the protocol
// allows.
func (s *Store) SetMaxPageSize(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxPageSize = size
}

// Refusals returns how many transactions were refused with a status because of a limit.
func (s *Store) Refusals(status int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusals[status]
}

// LimitRequests sets how many requests per second are served.
func (s *Store) LimitRequests(rps float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestRate = rate.NewLimiter(rate.Limit(rps), int(rps))
}

// RequestCounts returns how many requests the store received, and how many of them it
// throttled.
func (s *Store) RequestCounts() (requests, throttled int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCount, s.throttledCount
}

// admitRequest counts a request and reports whether it is within the rate limit.
func (l *storeLimits) admitRequest() bool {
	l.requestCount++
	if l.requestRate != nil && !l.requestRate.Allow() {
		l.throttledCount++
		return false
	}
	return true
}

// admitMutations reports whether the given number of mutations is within the rate limit of writes.
func (l *storeLimits) admitMutations(count int) bool {
	return l.writeRate == nil || l.writeRate.AllowN(time.Now(), count)
}
