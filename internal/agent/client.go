// Package agent is the client of the agents, the processes that run tasks on the machines.
//
// It owns the sending of commands and the bound on how many are under way at once. It must
// never repeat a command: an agent may execute one long after it was sent, and the leader
// alone knows what may follow.
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
	// slots holds an element for each request under way.
	slots chan struct{}
}

// New makes a client over the given transport that has at most maxInFlight requests under
// way at once: a hundred machines that hang take a socket each until the requests to them
// time out.
func New(transport http.RoundTripper, malformed *httpclient.MalformedLog, maxInFlight int) *Client {
	return &Client{
		http:  httpclient.Client{HTTP: &http.Client{Transport: transport}, Malformed: malformed},
		slots: make(chan struct{}, max(1, maxInFlight)),
	}
}

// CommandError is a request with commands that got no usable answer: the commands may have
// been executed, or may be executed even much later.
type CommandError struct {
	Address string // of the agent
	Err     error
}

// Error names the agent, the outcome and the cause.
func (e *CommandError) Error() string {
	return fmt.Sprintf("commands to agent %s: outcome unknown: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *CommandError) Unwrap() error { return e.Err }

// SendCommands sends commands to the agent at an address and returns the agent's heartbeat
// after them. The agent has executed all of the commands or none: the heartbeat tells. The
// error is a *CommandError, or the context's if it ended before the commands were sent.
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

// exchange sends the request once and decodes the heartbeat that answers it. An agent that
// rejects the commands answers 409, with a heartbeat as well.
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
