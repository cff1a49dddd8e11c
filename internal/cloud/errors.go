package cloud

import (
	"errors"
	"fmt"
)

// Each error of this package wraps one of these, which says what is known of the outcome
// of the operation.
var (
	// ErrNoCapacity says that no machine of this type, zone and kind can be had now: not
	// executed.
	ErrNoCapacity = errors.New("cloud: no capacity, not executed")
	// ErrInvalidRequest says that the cloud rejected the request: not executed.
	ErrInvalidRequest = errors.New("cloud: request rejected, not executed")
	// ErrUnavailable says that there was no usable answer: the outcome is unknown, and the
	// request may be executed later. The context's end while the call waits for its budget
	// counts as this, too.
	ErrUnavailable = errors.New("cloud: unavailable, outcome unknown")
)

// OperationError is an operation of the cloud that failed.
type OperationError struct {
	Operation Operation
	// Target is what the operation was on: a provisioning request or machines.
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

// Error names the operation, its target and what is known of the outcome.
func (e *OperationError) Error() string {
	return fmt.Sprintf("%s %q: %v", e.Operation, e.Target, e.Err)
}

// Unwrap returns the cause.
func (e *OperationError) Unwrap() error { return e.Err }
