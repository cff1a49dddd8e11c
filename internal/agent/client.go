// Package agent is the client of the agents, the processes that run tasks on the machines.
//
// The package sends commands and limits the number of requests in flight. It must never
// retry a command: an agent may execute a command long after it was sent, and only the
// leader can decide which command may be sent after it.
package agent

import (
	"context"
	"fmt"
	"net/http"

	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// Client sends commands to agents. It is safe for concurrent use.
type Client struct {
	http httpclient.Client
	// slots holds an element for each request in flight.
	slots chan struct{}
}

// New returns a client over the given transport with at most maxInFlight requests in flight.
// Without the limit, a hundred machines that hang would take a hundred sockets until the
// requests to them time out.
func New(transport http.RoundTripper, malformed *httpclient.MalformedLog, maxInFlight int) *Client {
	return &Client{
		http:  httpclient.Client{HTTP: &http.Client{Transport: transport}, Malformed: malformed},
		slots: make(chan struct{}, max(1, maxInFlight)),
	}
}

// CommandError is the error of a request with commands that got no usable response: the
// commands may have been executed, or may be executed later, even much later.
type CommandError struct {
	Address string // of the agent
	Err     error
}

// Error returns the agent's address, the unknown outcome and the cause.
func (e *CommandError) Error() string {
	return fmt.Sprintf("commands to agent %s: outcome unknown: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *CommandError) Unwrap() error { return e.Err }

// SendCommands sends commands to the agent at an address and returns the agent's heartbeat
// after them. The agent has executed all of the commands or none; the heartbeat shows which.
// The error is a *CommandError, or the context's error if ctx ended before the commands were
// sent.
func (c *Client) SendCommands(ctx context.Context, address string, request protocol.CommandRequest) (*protocol.Heartbeat, error) {
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.CommandTimeout)
	defer cancel()
	heartbeat := new(protocol.Heartbeat)
	if err := c.exchange(ctx, address, request, heartbeat); err != nil {
		return heartbeat, &CommandError{Address: address, Err: err}
	}
	return heartbeat, nil
}

// exchange sends the request once and decodes the heartbeat in the response. An agent that
// rejects the commands responds with 409 and also with a heartbeat.
func (c *Client) exchange(ctx context.Context, address string, request protocol.CommandRequest, heartbeat *protocol.Heartbeat) error {
	err := c.http.Do(ctx, httpclient.Request{
		Method: http.MethodPost,
		URL:    "http://" + address + "/do",
		Body:   request,
		Responses: map[int]any{
			http.StatusOK:       heartbeat,
			http.StatusConflict: heartbeat,
		},
	})
	if err != nil && !httpclient.HasStatus(err, http.StatusConflict) {
		return err
	}
	return heartbeat.Check()
}
