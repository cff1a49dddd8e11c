package api

import (
	"sync"

	"marblehaven/internal/tuning"
)

// retryBudget limits the retries of throttled calls to a share of the calls that succeed.
// If all throttled calls were retried, the retries would keep the key-value store
// overloaded long after the original overload has ended. It is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64 // the retries that may be made now
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: tuning.RetryBudget} }

// recordSuccess adds tuning.RetryShare of a retry to the budget for a call that succeeded.
func (b *retryBudget) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(tuning.RetryBudget, b.tokens+tuning.RetryShare)
}

// allowRetry reports whether a call may be retried now, and takes the retry from the budget
// if so.
func (b *retryBudget) allowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
