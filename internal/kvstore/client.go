// Package kvstore is the client of the key-value store.
//
// The package implements the store's wire protocol, checks transactions against the limits
// in the settings, and maps each response to what is known of the operation's outcome. All
// access to the store goes through it. It must never report an operation as executed, or as
// not executed, without a response that proves it: callers decide how to handle an unknown
// outcome.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/httpclient"
)

// Client is a client of the key-value store. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    httpclient.Client
	limits  *limits
	start   time.Time
	// lastServed is the time of the store's last usable response with a status other than
	// 503, in nanoseconds after start. A duration since start is measured by the monotonic
	// clock, while wall-clock times can jump.
	lastServed atomic.Int64
}

// New returns a client for the store at address (host:port) that sends its requests over the
// given transport and checks transactions against the limits in state.
func New(address string, transport http.RoundTripper, malformed *httpclient.MalformedLog, state config.State) *Client {
	return &Client{
		baseURL: "http://" + address,
		http:    httpclient.Client{HTTP: &http.Client{Transport: transport}, Malformed: malformed},
		limits:  newLimits(state),
		start:   time.Now(),
	}
}

// MaxValueBytes returns the present size limit of a value, in bytes as JSON.
func (c *Client) MaxValueBytes() int { return c.limits.valueBytes() }

// MaxMutations returns the largest number of mutations in a transaction.
func (c *Client) MaxMutations() int { return c.limits.stricter.TxnOps }

// UseAnnouncedLimits limits the size of values to the smaller of the present and the
// announced limit from now on.
func (c *Client) UseAnnouncedLimits() { c.limits.useAnnounced.Store(true) }

// SinceServed returns the time since the store's last usable response with a status other
// than 503, or since New if there was none.
func (c *Client) SinceServed() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastServed.Load())
}

// call is one request to the store for an operation.
type call struct {
	operation Operation
	target    string
	timeout   time.Duration

	method    string
	path      string // with the query
	body      any
	responses map[int]any
	// statusErrors maps statuses other than 200, 429 and 503 to what they mean for the
	// operation. Any other status that is not in it leaves the outcome unknown.
	statusErrors map[int]error
}

// operationError adds the operation and its target to an error of the call.
func (r *call) operationError(err error) error {
	return &OperationError{Operation: r.operation, Target: r.target, Err: err}
}

// protocolError returns the error of a call whose response breaks the store's protocol.
func (r *call) protocolError(problem string) error {
	return r.operationError(fmt.Errorf("%w: %s", ErrOutcomeUnknown, problem))
}

// do sends the request of a call once, and returns nil if the response has status 200.
func (c *Client) do(ctx context.Context, request call) error {
	ctx, cancel := context.WithTimeout(ctx, request.timeout)
	defer cancel()
	err := c.http.Do(ctx, httpclient.Request{
		Method:    request.method,
		URL:       c.baseURL + request.path,
		Body:      request.body,
		Responses: request.responses,
	})
	c.recordServed(err)
	if err == nil {
		return nil
	}
	return request.operationError(classifyError(err, request.statusErrors))
}

// recordServed records the time of a response that shows that the store serves this node:
// one with any status but 503. A response that cannot be decoded does not count.
func (c *Client) recordServed(err error) {
	var noResponse *httpclient.NoResponseError
	if errors.As(err, &noResponse) || httpclient.HasStatus(err, http.StatusServiceUnavailable) {
		return
	}
	c.lastServed.Store(int64(time.Since(c.start)))
}

// classifyError translates an error of the HTTP client to the error that says what is known
// of the operation's outcome.
func classifyError(err error, statusErrors map[int]error) error {
	var statusErr *httpclient.StatusError
	if !errors.As(err, &statusErr) {
		return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	switch statusErr.Status {
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	case http.StatusTooManyRequests:
		return ErrThrottled
	}
	if known := statusErrors[statusErr.Status]; known != nil {
		return known
	}
	return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
}
