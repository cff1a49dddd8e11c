// Package kvstore is the client of the key-value store.
//
// It owns the store's wire protocol, the limits that transactions are held to, and what
// an answer says of an operation's outcome. All accesses to the store come through here.
// It must never conclude that an operation was executed, or was not, without an answer
// that proves it: callers decide what an unknown outcome means to them.
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
	// lastServed is when the store last answered with a status other than 503, in
	// nanoseconds after start: durations since start are steady, wall-clock times are not.
	lastServed atomic.Int64
}

// New makes a client for the store at address host:port over the given transport. Its
// transactions keep to the limits that the settings give.
func New(address string, transport http.RoundTripper, malformed *httpclient.MalformedLog, state config.State) *Client {
	return &Client{
		baseURL: "http://" + address,
		http:    httpclient.Client{HTTP: &http.Client{Transport: transport}, Malformed: malformed},
		limits:  newLimits(state),
		start:   time.Now(),
	}
}

// MaxValueBytes is the size in bytes as JSON of the largest value that may be written now.
func (c *Client) MaxValueBytes() int { return c.limits.valueBytes() }

// MaxMutations is how many mutations a transaction may have.
func (c *Client) MaxMutations() int { return c.limits.stricter.TxnOps }

// UseAnnouncedLimits holds values to the smaller of the present and the announced limit
// from now on.
func (c *Client) UseAnnouncedLimits() { c.limits.useAnnounced.Store(true) }

// SinceServed is the time since the store last gave a usable answer other than 503.
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
	// statusErrors is what the statuses other than 200, 429 and 503 mean to the
	// operation. Any that is not in it leaves the outcome unknown.
	statusErrors map[int]error
}

// operationError makes the error of the call.
func (r *call) operationError(err error) error {
	return &OperationError{Operation: r.operation, Target: r.target, Err: err}
}

// protocolError is the error of a call whose answer breaks the store's protocol.
func (r *call) protocolError(problem string) error {
	return r.operationError(fmt.Errorf("%w: %s", ErrOutcomeUnknown, problem))
}

// do sends the request of a call once, and returns nil after an answer 200.
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

// recordServed notes when the store gave an answer that shows that it serves this node:
// any but 503. An answer that cannot be decoded is none.
func (c *Client) recordServed(err error) {
	var noResponse *httpclient.NoResponseError
	if errors.As(err, &noResponse) || httpclient.HasStatus(err, http.StatusServiceUnavailable) {
		return
	}
	c.lastServed.Store(int64(time.Since(c.start)))
}

// classifyError translates an error of the HTTP client to what it says of an operation.
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
