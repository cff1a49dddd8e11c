// Package cloud speaks to the machine cloud within its budget of calls.
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
	base    string
	http    httpclient.Client
	limiter *rate.Limiter
}

// New makes a client that makes at most rps calls a second.
func New(addr string, rt http.RoundTripper, cs *httpclient.MalformedLog, rps float64) *Client {
	return &Client{base: "http://" + addr, http: httpclient.Client{HTTP: &http.Client{Transport: rt}, Malformed: cs}, limiter: rate.NewLimiter(rate.Limit(rps), int(math.Max(1, rps*tuning.CloudBurst)))}
}

func (c *Client) call(ctx context.Context, method, path string, in any, out map[int]any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer cancel()
	err := c.http.Do(ctx, httpclient.Request{Method: method, URL: c.base + path, Body: in, Responses: out})
	switch {
	case httpclient.HasStatus(err, http.StatusBadRequest):
		return ErrInvalidRequest
	case err != nil:
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return nil
}
