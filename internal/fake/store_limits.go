package fake

import (
	"time"

	"golang.org/x/time/rate"

	"marblehaven/internal/config"
)

// StoreLimits is what the store accepts at most, and how often it refused.
type StoreLimits struct {
	// Limits of a commit; 0 is none. Breaking one is the caller's mistake.
	MaxOps, MaxValue int
	// PageMost is how many keys a page of a list has at most; 0: as many as PROTOCOL says.
	PageMost int
	// Refusals counts what the limits refused, by status.
	Refusals map[int]int

	// limitsLowered: the limits have become smaller without notice. Breaking one gets 400,
	// and changes beyond the rate get 429.
	limitsLowered bool
	writeRate     *rate.Limiter
	// requestRate is the limit of requests; nil is none. requestCount counts them all, and
	// throttledCount those beyond the limit.
	requestRate                  *rate.Limiter
	requestCount, throttledCount int
}

// Limit makes the limits smaller from now on, without notice.
func (s *Store) Limit(limits config.StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limitsLowered = true
	s.MaxOps, s.MaxValue = limits.TxnOps, limits.ValueBytes()
	s.writeRate = rate.NewLimiter(rate.Limit(limits.WriteRPS), int(limits.WriteRPS))
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

// admitRequest counts a request, and tells whether it is within the limit.
func (l *StoreLimits) admitRequest() bool {
	l.requestCount++
	if l.requestRate != nil && !l.requestRate.Allow() {
		l.throttledCount++
		return false
	}
	return true
}

// admitMutations tells whether so many mutations are within the limit of writes.
func (l *StoreLimits) admitMutations(count int) bool {
	return l.writeRate == nil || l.writeRate.AllowN(time.Now(), count)
}
