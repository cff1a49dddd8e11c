package kvstore

import (
	"errors"
	"fmt"
)

// The errors of this package wrap one of these, which says what is known of the outcome of
// the operation. The exceptions are values that cannot be encoded, which are not sent, and
// the context's end while CommitUntilKnown retries.
var (
	// ErrOutcomeUnknown says that there was no usable answer: the operation may have
	// been executed, or may be executed later.
	ErrOutcomeUnknown = errors.New("key-value store: outcome unknown")
	// ErrUnavailable says that the store answered 503 or 429: not executed.
	ErrUnavailable = errors.New("key-value store: unavailable, not executed")
	// ErrThrottled is the ErrUnavailable of an answer 429: not executed.
	ErrThrottled = fmt.Errorf("%w: too many requests", ErrUnavailable)
	// ErrConflict says that a precondition of the transaction failed: not executed.
	ErrConflict = errors.New("key-value store: precondition failed, not executed")
	// ErrNotFound says that the key does not exist.
	ErrNotFound = errors.New("key-value store: key not found")
	// ErrLeaseExpired says that the lease has expired or was revoked: not executed.
	ErrLeaseExpired = errors.New("key-value store: lease expired, not executed")
	// ErrInvalidRequest says that the store rejected the transaction: not executed.
	ErrInvalidRequest = errors.New("key-value store: request rejected, not executed")
	// ErrTooLarge says that the transaction exceeds the limits: not sent.
	ErrTooLarge = errors.New("key-value store: transaction beyond the limits, not sent")
	// ErrCompacted says that the store no longer keeps the changes after the watch's
	// revision.
	ErrCompacted = errors.New("key-value store: changes no longer kept")
	// ErrInDoubt says that an attempt of the transaction was not answered, and that the
	// transaction cannot be sent again: it may have been executed, or may be executed
	// later. Nothing may be concluded from its records until one of its preconditions
	// can no longer hold.
	ErrInDoubt = errors.New("key-value store: transaction in doubt")
)

// OperationError is an operation on the store that failed.
type OperationError struct {
	Operation Operation
	// Target is what the operation was on: a key, a prefix, a lease or the keys that a
	// transaction changes.
	Target string
	// Err wraps one of the sentinels above, which says what is known of the outcome.
	Err error
}

// Operation is a kind of operation on the store.
type Operation string

// The operations on the store.
const (
	OperationRead      Operation = "read key"
	OperationList      Operation = "list keys with prefix"
	OperationCommit    Operation = "commit transaction on"
	OperationGrant     Operation = "grant lease of"
	OperationKeepAlive Operation = "keep alive lease"
	OperationRevoke    Operation = "revoke lease"
	OperationWatch     Operation = "watch keys with prefix"
)

// Error names the operation, its target and what is known of the outcome.
func (e *OperationError) Error() string {
	return fmt.Sprintf("%s %q: %v", e.Operation, e.Target, e.Err)
}

// Unwrap returns the cause.
func (e *OperationError) Unwrap() error { return e.Err }
