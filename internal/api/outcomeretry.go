package api

import (
	"context"
	"errors"
	"log/slog"

	"marblehaven/internal/clock"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/tuning"
)

// outcomeRetrier repeats the attempts of a user's call until the outcome is known. Users'
// calls are idempotent, so an attempt whose outcome is unknown may be repeated.
type outcomeRetrier struct {
	budget *retryBudget
	log    *slog.Logger
}

// retryUntilKnown repeats an attempt until it returns a reply. An attempt that the key-value
// store throttles is repeated a few times within the retry budget. If the store refuses
// to serve, that is the reply at once.
func (o *outcomeRetrier) retryUntilKnown(ctx context.Context, throttleRetries int, attempt func() (userReply, error)) userReply {
	for throttled := 0; ; {
		reply, err := attempt()
		switch {
		case err == nil:
			o.budget.recordSuccess()
			return reply
		case errors.Is(err, kvstore.ErrThrottled):
			if throttled++; throttled > throttleRetries || !o.budget.allowRetry() {
				return unavailableReply
			}
		case errors.Is(err, kvstore.ErrUnavailable):
			return storeRefusedReply
		case errors.Is(err, kvstore.ErrInvalidRequest), errors.Is(err, kvstore.ErrTooLarge):
			o.log.Error("key-value store refused a transaction as invalid or too large, the call is answered with 503", "err", err)
			return unavailableReply
		}
		// The outcome of any other error is unknown. The next attempt reads before it
		// writes, or the preconditions of its write find out.
		if !clock.Sleep(ctx, tuning.UserRetryPause) {
			return storeRefusedReply
		}
	}
}
