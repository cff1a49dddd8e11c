package httpclient

import (
	"errors"
	"fmt"
)

// ErrMalformed is in the chain of a NoAnswerError when an answer came whose body could
// not be decoded.
var ErrMalformed = errors.New("malformed answer")

// StatusError is an answer with a status other than 200. What the status says of the
// request's outcome is up to the service's protocol.
type StatusError struct {
	Method string
	URL    string
	Status int
}

// Error names the request and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s %s: status %d", e.Method, e.URL, e.Status)
}

// NoResponseError is a request without a usable answer: it may have been executed, may be
// executed later, or may never have left.
type NoResponseError struct {
	Method string
	URL    string
	// Err is the cause: of the transport, of the context, or ErrMalformed.
	Err error
}

// Error names the request and the cause.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("%s %s: no usable answer: %v", e.Method, e.URL, e.Err)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Err }

// HasStatus tells whether an error of Do is an answer with the given status.
func HasStatus(err error, status int) bool {
	var statusErr *StatusError
	return errors.As(err, &statusErr) && statusErr.Status == status
}
