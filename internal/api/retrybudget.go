package api

import (
	"sync"

	"marblehaven/internal/tuning"
)

// retryBudget bounds retries to a part of the calls that succeed. Without it each call
// that the state service throttles is made again and again, which keeps it throttling
// long after what began it is over. It is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: tuning.RetryBudget} }

// recordSuccess notes a call that was answered.
func (b *retryBudget) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(tuning.RetryBudget, b.tokens+tuning.RetryShare)
}

// allowRetry tells whether a call may be made again now.
func (b *retryBudget) allowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
