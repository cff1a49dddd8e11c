package cloud

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"marblehaven/internal/codec"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
)

// fixedAnswer is a transport that gives one answer to all requests.
type fixedAnswer struct {
	status int // 0: the connection fails
	body   []byte
}

func (f fixedAnswer) RoundTrip(*http.Request) (*http.Response, error) {
	if f.status == 0 {
		return nil, errors.New("connection refused")
	}
	return &http.Response{StatusCode: f.status, Body: io.NopCloser(bytes.NewReader(f.body))}, nil
}

// TestOutcomes pins what each operation makes of each answer. A provisioning request taken
// for not executed, when it was, would leave machines that nobody uses or returns.
func TestOutcomes(t *testing.T) {
	provision := func(ctx context.Context, c *Client) error {
		_, err := c.Provision(ctx, protocol.ProvisionRequest{RequestID: "claim-1"})
		return err
	}
	deprovision := func(ctx context.Context, c *Client) error { return c.Deprovision(ctx, []string{"m-1", "m-2"}) }
	catalog := func(ctx context.Context, c *Client) error {
		_, err := c.Catalog(ctx)
		return err
	}
	list := func(ctx context.Context, c *Client) error {
		_, err := c.ListMachines(ctx)
		return err
	}
	usable := protocol.MachineType{Name: "small", Cores: 4, Price: 1, Zones: []string{"north"}}
	free := usable
	free.Price = 0
	for _, c := range []struct {
		name      string
		operation func(context.Context, *Client) error
		status    int
		body      any // nil: an empty body
		want      error
		names     string // what the error must name
	}{
		{"provision: machines", provision, 200, protocol.MachineIDs{IDs: []string{"m-1"}}, nil, ""},
		{"provision: no capacity", provision, 503, protocol.ErrorReply{Error: "no capacity"}, ErrNoCapacity, "claim-1"},
		{"provision: unavailable", provision, 503, protocol.ErrorReply{Error: "down"}, ErrUnavailable, "claim-1"},
		{"provision: unavailable without a reason", provision, 503, nil, ErrUnavailable, "claim-1"},
		{"provision: rejected", provision, 400, nil, ErrInvalidRequest, "claim-1"},
		{"provision: throttled", provision, 429, nil, ErrUnavailable, "429"},
		{"provision: unreadable", provision, 200, nil, ErrUnavailable, "claim-1"},
		{"provision: no connection", provision, 0, nil, ErrUnavailable, "connection refused"},
		{"deprovision: done", deprovision, 200, nil, nil, ""},
		{"deprovision: unexpected status", deprovision, 404, nil, ErrUnavailable, "m-1 and 1 more"},
		{"deprovision: rejected", deprovision, 400, nil, ErrInvalidRequest, "m-1 and 1 more"},
		{"catalog: types", catalog, 200, protocol.Catalog{Types: []protocol.MachineType{free, usable}}, nil, ""},
		{"catalog: no usable type", catalog, 200, protocol.Catalog{Types: []protocol.MachineType{free}}, ErrUnavailable, "empty catalog"},
		{"catalog: unavailable", catalog, 503, protocol.ErrorReply{Error: "no capacity"}, ErrUnavailable, "503"},
		{"list: unreadable", list, 200, nil, ErrUnavailable, "list machines"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var body []byte
			if c.body != nil {
				var err error
				if body, err = codec.Marshal(c.body); err != nil {
					t.Fatal(err)
				}
			}
			client := New("cloud:1", fixedAnswer{c.status, body}, httpclient.NewMalformedLog(slog.New(slog.DiscardHandler)), 1000)
			err := c.operation(t.Context(), client)
			if c.want == nil {
				if err != nil {
					t.Errorf("got %v", err)
				}
				return
			}
			for _, sentinel := range []error{ErrNoCapacity, ErrInvalidRequest, ErrUnavailable} {
				if errors.Is(err, sentinel) != errors.Is(c.want, sentinel) {
					t.Fatalf("got %v instead of %v", err, c.want)
				}
			}
			var failed *OperationError
			if !errors.As(err, &failed) || !strings.Contains(err.Error(), c.names) {
				t.Errorf("%q does not say what was tried, or does not name %q", err, c.names)
			}
		})
	}
}
