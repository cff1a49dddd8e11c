package cloud

import (
	"errors"
	"fmt"
)

// Each error of this package wraps one of these, which says what is known of the outcome
// of the operation.
var (
	// ErrNoCapacity means that no machine of the requested type and zone, spot or standard as
	// requested, is available now: not executed.
	ErrNoCapacity = errors.New("cloud: no capacity, not executed")
	// ErrInvalidRequest means that the cloud rejected the request: not executed.
	ErrInvalidRequest = errors.New("cloud: request rejected, not executed")
	// ErrUnavailable means that there was no usable response: the outcome is unknown, and the
	// request may be executed later. It is also the error of a call whose context ends while
	// it waits for the call budget.
	ErrUnavailable = errors.New("cloud: unavailable, outcome unknown")
)

// OperationError is the error of a failed operation of the cloud.
type OperationError struct {
	Operation Operation
	// Target names what the operation was on: the machine types, a provisioning request,
	// machines, or the machine after which a page of the list was to start.
	Target string
	// Err wraps one of the sentinels above.
	Err error
}

// Operation is a kind of operation of the cloud.
type Operation string

// The operations of the cloud.
const (
	OperationCatalog     Operation = "read the catalog of"
	OperationProvision   Operation = "provision machines"
	OperationDeprovision Operation = "deprovision machines"
	OperationList        Operation = "list machines after"
)

// Error returns the operation, its target and what is known of the outcome.
func (e *OperationError) Error() string {
	return fmt.Sprintf("%s %q: %v", e.Operation, e.Target, e.Err)
}

// Unwrap returns the cause.
func (e *OperationError) Unwrap() error { return e.Err }
