// Package cloud is the client of the cloud that provisions machines.
//
// The package implements the cloud's wire protocol, keeps to the call budget in the
// settings, and maps each response to what is known of the operation's outcome. It must
// never exceed the budget, retry a request, or return part of a list as the whole list: a
// machine that is missing from a list counts as removed.
package cloud

import (
	"context"
	"fmt"
	"math"
	"net/http"

	"golang.org/x/time/rate"

	"marblehaven/internal/httpclient"
	"marblehaven/internal/tuning"
)

// Client is a client of the cloud. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    httpclient.Client
	budget  *rate.Limiter
}

// New returns a client for the cloud at address (host:port) that sends its requests over the
// given transport. It makes at most callsPerSecond calls per second on average.
func New(address string, transport http.RoundTripper, malformed *httpclient.MalformedLog, callsPerSecond float64) *Client {
	burst := int(math.Max(1, callsPerSecond*tuning.CloudBurst))
	return &Client{
		baseURL: "http://" + address,
		http:    httpclient.Client{HTTP: &http.Client{Transport: transport}, Malformed: malformed},
		budget:  rate.NewLimiter(rate.Limit(callsPerSecond), burst),
	}
}

// call is one request to the cloud for an operation.
type call struct {
	operation Operation
	target    string

	method    string
	path      string // with the query
	body      any
	responses map[int]any
}

// operationError adds the operation and its target to an error of the call.
func (r *call) operationError(err error) error {
	return &OperationError{Operation: r.operation, Target: r.target, Err: err}
}

// protocolError returns the error of a call whose response breaks the cloud's protocol.
func (r *call) protocolError(problem string) error {
	return r.operationError(fmt.Errorf("%w: %s", ErrUnavailable, problem))
}

// do sends the request of a call once, as soon as the budget allows, and returns nil if the
// response has status 200.
func (c *Client) do(ctx context.Context, request call) error {
	if err := c.budget.Wait(ctx); err != nil {
		return request.operationError(fmt.Errorf("%w: %v", ErrUnavailable, err))
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer cancel()
	err := c.http.Do(ctx, httpclient.Request{
		Method:    request.method,
		URL:       c.baseURL + request.path,
		Body:      request.body,
		Responses: request.responses,
	})
	switch {
	case err == nil:
		return nil
	case httpclient.HasStatus(err, http.StatusBadRequest):
		return request.operationError(ErrInvalidRequest)
	}
	return request.operationError(fmt.Errorf("%w: %v", ErrUnavailable, err))
}
