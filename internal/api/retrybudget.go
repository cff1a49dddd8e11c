package api

import (
	"sync"

	"marblehaven/internal/tuning"
)

// retryBudget limits the retries of throttled calls to a share of the calls that succeed.
// Without a budget all throttled calls are retried, and the retries keep the key-value
// store throttling long after the overload that began it has ended. It is safe for
// concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64 // the retries that may be made now
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: tuning.RetryBudget} }

// recordSuccess adds tuning.RetryShare of a retry for a call that succeeded.
func (b *retryBudget) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(tuning.RetryBudget, b.tokens+tuning.RetryShare)
}

// allowRetry tells whether a call may be retried now, and takes the retry if so.
func (b *retryBudget) allowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
