// Package worker sends direct commands to workers.
package worker

import (
	"context"
	"fmt"
	"net/http"

	"marblehaven/internal/tuning"
	"marblehaven/internal/wire"
)

// Client sends commands; it is safe for concurrent use.
type Client struct{ hc *http.Client }

// New makes a client over the given transport.
func New(rt http.RoundTripper) *Client { return &Client{hc: &http.Client{Transport: rt}} }

// Do sends commands to the worker at addr. With executed false and no error
// the worker refused them whole. An error means that they may still be
// executed, even much later.
func (c *Client) Do(ctx context.Context, addr string, req wire.DoRequest) (rep *wire.Report, executed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.DoTimeout)
	defer cancel()
	rep = new(wire.Report)
	status, err := wire.Call(ctx, c.hc, http.MethodPost, "http://"+addr+"/do", req, map[int]any{200: rep, 409: rep})
	if err != nil {
		return nil, false, err
	}
	if status != 200 && status != 409 {
		return nil, false, fmt.Errorf("worker answered %d", status)
	}
	if err := rep.Check(); err != nil {
		return nil, false, err
	}
	return rep, status == 200, nil
}
