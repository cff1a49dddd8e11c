package kvstore

import (
	"errors"
	"fmt"
)

var (
	// ErrOutcomeUnknown: no usable answer; the request may be executed, also later.
	ErrOutcomeUnknown = errors.New("state service: outcome unknown")
	// ErrUnavailable: answered 503 or 429; the request was not executed.
	ErrUnavailable = errors.New("state service: refused")
	// ErrThrottled: answered 429; the request was not executed.
	ErrThrottled = fmt.Errorf("%w: too many requests", ErrUnavailable)
	// ErrConflict: a guard of the commit did not hold.
	ErrConflict = errors.New("state service: guard failed")
	// ErrNotFound: no such key.
	ErrNotFound = errors.New("state service: not found")
	// ErrLeaseExpired: the grant is over.
	ErrLeaseExpired = errors.New("state service: grant is over")
	// ErrInvalidRequest: the service refused the request as malformed; not executed.
	ErrInvalidRequest = errors.New("state service: malformed request")
	// ErrTooLarge: the transaction exceeds the limits, so it was not sent.
	ErrTooLarge = errors.New("state service: beyond the limits")
	// ErrCompacted: the follow position is too old.
	ErrCompacted = errors.New("state service: changes no longer kept")
)

// ErrInDoubt: a try of the transaction was not answered, and it cannot be sent again.
// It may have been executed, or be executed later. Nothing may be concluded from its
// records until one of its conditions can no longer hold.
var ErrInDoubt = errors.New("state service: transaction in doubt")
