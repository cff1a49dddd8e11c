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

// retryUntilKnown repeats an attempt until the attempt returns a reply or the context ends.
// Throttled attempts are repeated at most throttleRetries times and within the retry budget.
// If the key-value store is unavailable, retryUntilKnown returns storeUnavailableReply
// without a retry; if the context ends, it returns the same reply.
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
			return storeUnavailableReply
		case errors.Is(err, kvstore.ErrInvalidRequest), errors.Is(err, kvstore.ErrTooLarge):
			o.log.Error("transaction is invalid or too large for the key-value store, the call is answered with 503", "err", err)
			return unavailableReply
		}
		// A throttled attempt was not executed. After any other error the outcome is
		// unknown: the next attempt reads the record before it writes, or the preconditions
		// of its write fail if the earlier write was executed.
		if !clock.Sleep(ctx, tuning.UserRetryPause) {
			return storeUnavailableReply
		}
	}
}
