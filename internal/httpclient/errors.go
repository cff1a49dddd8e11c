package httpclient

import (
	"errors"
	"fmt"
)

// ErrMalformed is wrapped by a NoResponseError if the body of a response could not be
// decoded.
var ErrMalformed = errors.New("malformed response")

// StatusError is the error of a response with a status other than 200. The service's
// protocol defines what the status says about the request's outcome.
type StatusError struct {
	Method string
	URL    string
	Status int
}

// Error returns the request and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s %s: status %d", e.Method, e.URL, e.Status)
}

// NoResponseError is the error of a request without a usable response: the request may have
// been executed, may be executed later, or may never have been sent.
type NoResponseError struct {
	Method string
	URL    string
	// Err is the cause, for example an error of the transport or the context, or one that
	// wraps ErrMalformed.
	Err error
}

// Error returns the request and the cause.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("%s %s: no usable answer: %v", e.Method, e.URL, e.Err)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Err }

// HasStatus reports whether an error of Do stands for a response with the given status.
func HasStatus(err error, status int) bool {
	var statusErr *StatusError
	return errors.As(err, &statusErr) && statusErr.Status == status
}
