// Package agent sends direct commands to workers.
package agent

import (
	"context"
	"net/http"

	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// Client sends commands; it is safe for concurrent use.
type Client struct {
	http  httpclient.Client
	slots chan struct{}
}

// New makes a client over the given transport that has at most so many commands
// under way at once: a hundred machines that hang take a socket each until the
// commands to them are given up.
func New(rt http.RoundTripper, cs *httpclient.MalformedLog, atOnce int) *Client {
	return &Client{httpclient.Client{HTTP: &http.Client{Transport: rt}, Malformed: cs}, make(chan struct{}, max(1, atOnce))}
}

// SendCommands sends commands to the worker at addr and returns its report after them,
// executed or refused whole: the report tells. An error means that they may
// still be executed, even much later.
func (c *Client) SendCommands(ctx context.Context, addr string, req protocol.CommandRequest) (*protocol.Heartbeat, error) {
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return nil, ctx.Err() // the term is over, and the command never left
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.CommandTimeout)
	defer cancel()
	heartbeat := new(protocol.Heartbeat)
	err := c.http.Do(ctx, httpclient.Request{Method: http.MethodPost, URL: "http://" + addr + "/do", Body: req,
		Responses: map[int]any{http.StatusOK: heartbeat, http.StatusConflict: heartbeat}})
	if err != nil && !httpclient.HasStatus(err, http.StatusConflict) {
		return heartbeat, err
	}
	return heartbeat, heartbeat.Check()
}
