package kvstore

import (
	"errors"
	"fmt"
)

// The errors of this package wrap one of these, which says what is known of the operation's
// outcome. The exceptions are the error of a value that cannot be encoded, which is not
// sent, and the context's error if ctx ends while CommitUntilKnown retries.
var (
	// ErrOutcomeUnknown means that there was no usable response: the operation may have
	// been executed, or may be executed later.
	ErrOutcomeUnknown = errors.New("key-value store: outcome unknown")
	// ErrUnavailable means that the store responded with 503 or 429: not executed.
	ErrUnavailable = errors.New("key-value store: unavailable, not executed")
	// ErrThrottled is the ErrUnavailable of a response with 429: not executed.
	ErrThrottled = fmt.Errorf("%w: too many requests", ErrUnavailable)
	// ErrConflict means that a precondition of the transaction failed: not executed.
	ErrConflict = errors.New("key-value store: precondition failed, not executed")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key-value store: key not found")
	// ErrLeaseExpired means that the lease has expired or was revoked: not executed.
	ErrLeaseExpired = errors.New("key-value store: lease expired, not executed")
	// ErrInvalidRequest means that the store rejected the transaction: not executed.
	ErrInvalidRequest = errors.New("key-value store: request rejected, not executed")
	// ErrTooLarge means that the transaction exceeds the limits: not sent.
	ErrTooLarge = errors.New("key-value store: transaction beyond the limits, not sent")
	// ErrCompacted means that the store no longer keeps all changes after the watch's
	// revision.
	ErrCompacted = errors.New("key-value store: changes after the revision no longer kept")
	// ErrInDoubt means that an attempt of the transaction got no response, and that the
	// transaction cannot be sent again: it may have been executed, or may be executed later
	// as long as all of its preconditions can still hold. The values of its keys show the
	// outcome only once one of the preconditions can no longer hold.
	ErrInDoubt = errors.New("key-value store: transaction in doubt")
)

// OperationError is the error of a failed operation on the store.
type OperationError struct {
	Operation Operation
	// Target names what the operation was on: a key, a prefix, a lease, the time to live of
	// a requested lease, or the keys that a transaction mutates.
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

// Error returns the operation, its target and what is known of the outcome.
func (e *OperationError) Error() string {
	return fmt.Sprintf("%s %q: %v", e.Operation, e.Target, e.Err)
}

// Unwrap returns the cause.
func (e *OperationError) Unwrap() error { return e.Err }
