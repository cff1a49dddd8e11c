// Package kvstore speaks to the state service. It holds no policy: callers
// decide what an unknown outcome means.
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

// Client is a client of the state service. It is safe for concurrent use.
type Client struct {
	base       string
	http       httpclient.Client
	limits     *limits
	lastServed atomic.Int64 // steady time of the last answer that shows service, ns since start
	start      time.Time
}

// New makes a client for the address host:port over the given transport, within
// the limits that the settings give.
func New(addr string, rt http.RoundTripper, cs *httpclient.MalformedLog, state config.State) *Client {
	return &Client{base: "http://" + addr, http: httpclient.Client{HTTP: &http.Client{Transport: rt}, Malformed: cs},
		limits: newLimits(state), start: time.Now()}
}

// MaxValueBytes is the largest value, in bytes as JSON, that may be written now.
func (c *Client) MaxValueBytes() int { return c.limits.valueBytes() }

// MaxMutations is how many changes a transaction may have.
func (c *Client) MaxMutations() int { return c.limits.smaller.TxnOps }

// UseAnnouncedLimits keeps to the smaller of the present and the announced value limit
// from now on.
func (c *Client) UseAnnouncedLimits() { c.limits.announced.Store(true) }

// SinceServed is the time since the service last answered other than by refusing.
func (c *Client) SinceServed() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastServed.Load())
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, in any, out map[int]any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := c.http.Do(ctx, httpclient.Request{Method: method, URL: c.base + path, Body: in, Responses: out})
	status := http.StatusOK
	var answered *httpclient.StatusError
	switch {
	case errors.As(err, &answered):
		status = answered.Status
	case err != nil:
		return 0, fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	if status != http.StatusServiceUnavailable {
		c.lastServed.Store(int64(time.Since(c.start)))
	}
	switch status {
	case http.StatusServiceUnavailable:
		return status, ErrUnavailable
	case http.StatusTooManyRequests:
		return status, ErrThrottled
	}
	return status, nil
}

func unexpected(status int) error { return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status) }
