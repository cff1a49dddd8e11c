package cloud

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"marblehaven/internal/codec"
	"marblehaven/internal/fake"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
)

// TestOutcomes checks which error each operation returns for each response. A provisioning
// request that was executed but is reported as not executed would leave machines that are
// neither used nor deprovisioned.
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
	unpriced := usable
	unpriced.Price = 0
	for _, c := range []struct {
		name      string
		operation func(context.Context, *Client) error
		status    int
		body      any // nil: an empty body
		want      error
		wantText  string // what the error must contain
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
		{"catalog: types", catalog, 200, protocol.Catalog{Types: []protocol.MachineType{unpriced, usable}}, nil, ""},
		{"catalog: no usable type", catalog, 200, protocol.Catalog{Types: []protocol.MachineType{unpriced}}, ErrUnavailable, "empty catalog"},
		{"catalog: unavailable", catalog, 503, protocol.ErrorReply{Error: "no capacity"}, ErrUnavailable, "503"},
		{"list: unreadable", list, 200, nil, ErrUnavailable, "list machines"},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := New("cloud:1", fake.FixedResponse{Status: c.status, Body: encodeBody(t, c.body)}, httpclient.NewMalformedLog(slog.New(slog.DiscardHandler)), 1000)
			checkOutcome(t, c.operation(t.Context(), client), c.want, c.wantText)
		})
	}
}

// encodeBody returns the body of a response that holds value; nil stands for an empty body.
func encodeBody(t *testing.T, value any) []byte {
	t.Helper()
	if value == nil {
		return nil
	}
	body, err := codec.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// checkOutcome checks that an error wraps the wanted sentinel and no other, and that it is
// an OperationError that contains wantText.
func checkOutcome(t *testing.T, err, want error, wantText string) {
	t.Helper()
	if want == nil {
		if err != nil {
			t.Errorf("got error %v, want none", err)
		}
		return
	}
	for _, sentinel := range []error{ErrNoCapacity, ErrInvalidRequest, ErrUnavailable} {
		if errors.Is(err, sentinel) != errors.Is(want, sentinel) {
			t.Fatalf("got error %v, want %v", err, want)
		}
	}
	var failed *OperationError
	if !errors.As(err, &failed) || !strings.Contains(err.Error(), wantText) {
		t.Errorf("error %q does not wrap an OperationError or does not contain %q", err, wantText)
	}
}
