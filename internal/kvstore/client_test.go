package kvstore_test

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/fake"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
)

// sentinels are all errors of the package that say what is known of an outcome.
var sentinels = []error{kvstore.ErrOutcomeUnknown, kvstore.ErrUnavailable, kvstore.ErrThrottled, kvstore.ErrConflict, kvstore.ErrNotFound,
	kvstore.ErrLeaseExpired, kvstore.ErrInvalidRequest, kvstore.ErrTooLarge, kvstore.ErrCompacted, kvstore.ErrInDoubt}

// operation calls one method of the client.
type operation = func(context.Context, *kvstore.Client) error

// undecodableBody is a body that cannot be decoded.
var undecodableBody = []byte("unreadable")

// The operations on the key or prefix some/key, or on lease 7.
var (
	get operation = func(ctx context.Context, c *kvstore.Client) error {
		_, err := c.Get(ctx, "some/key")
		return err
	}
	list operation = func(ctx context.Context, c *kvstore.Client) error {
		_, err := c.List(ctx, "some/key", "", 10)
		return err
	}
	commit operation = func(ctx context.Context, c *kvstore.Client) error {
		_, err := c.Commit(ctx, protocol.Transaction{Mutations: []protocol.Mutation{{Set: "some/key", Value: 1}}})
		return err
	}
	grant operation = func(ctx context.Context, c *kvstore.Client) error {
		_, err := c.GrantLease(ctx, time.Second)
		return err
	}
	keepAlive operation = func(ctx context.Context, c *kvstore.Client) error { return c.KeepAlive(ctx, 7) }
	revoke    operation = func(ctx context.Context, c *kvstore.Client) error { return c.RevokeLease(ctx, 7) }
	watch     operation = func(ctx context.Context, c *kvstore.Client) error {
		_, err := c.Watch(ctx, "some/key", 5, time.Second)
		return err
	}
)

// outcomeCase is the error that an operation is expected to return for a response.
type outcomeCase struct {
	name       string
	operation  operation
	status     int
	body       any // sent as it is if it is a []byte, otherwise encoded
	want       error
	wantServed bool
	wantText   string // what the error must contain
}

var outcomeCases = []outcomeCase{
	{"get: found", get, 200, protocol.KeyValue{Key: "some/key", Version: 3}, nil, true, ""},
	{"get: no version", get, 200, protocol.KeyValue{Key: "some/key"}, kvstore.ErrOutcomeUnknown, true, "some/key"},
	{"get: no such key", get, 404, nil, kvstore.ErrNotFound, true, "some/key"},
	{"get: unreadable", get, 200, undecodableBody, kvstore.ErrOutcomeUnknown, false, "some/key"},
	{"get: no connection", get, 0, nil, kvstore.ErrOutcomeUnknown, false, "connection refused"},
	{"get: unavailable", get, 503, nil, kvstore.ErrUnavailable, false, "some/key"},
	{"get: throttled", get, 429, nil, kvstore.ErrThrottled, true, "some/key"},
	{"get: unexpected status", get, 409, nil, kvstore.ErrOutcomeUnknown, true, "409"},
	{"list: page", list, 200, protocol.KeyValuePage{}, nil, true, ""},
	{"list: unexpected status", list, 404, nil, kvstore.ErrOutcomeUnknown, true, "some/key"},
	{"commit: executed", commit, 200, protocol.TransactionReply{Revision: 4}, nil, true, ""},
	{"commit: no revision", commit, 200, protocol.TransactionReply{}, kvstore.ErrOutcomeUnknown, true, "some/key"},
	{"commit: conflict", commit, 409, protocol.TransactionReply{FailedKeys: []string{"term"}}, kvstore.ErrConflict, true, "some/key"},
	{"commit: unreadable conflict", commit, 409, undecodableBody, kvstore.ErrOutcomeUnknown, false, "some/key"},
	{"commit: rejected", commit, 400, protocol.ErrorReply{Error: "too many rows"}, kvstore.ErrInvalidRequest, true, "too many rows"},
	{"commit: unreadable rejection", commit, 400, undecodableBody, kvstore.ErrOutcomeUnknown, false, "some/key"},
	{"commit: no such lease", commit, 400, protocol.ErrorReply{Error: protocol.ReasonNoLease}, kvstore.ErrLeaseExpired, true, "some/key"},
	{"commit: unavailable", commit, 503, nil, kvstore.ErrUnavailable, false, "some/key"},
	{"commit: throttled", commit, 429, nil, kvstore.ErrThrottled, true, "some/key"},
	{"commit: gateway's error", commit, 502, nil, kvstore.ErrOutcomeUnknown, true, "502"},
	{"grant: granted", grant, 200, protocol.Lease{ID: 7}, nil, true, ""},
	{"grant: no lease", grant, 200, protocol.Lease{}, kvstore.ErrOutcomeUnknown, true, "1s"},
	{"keep-alive: renewed", keepAlive, 200, nil, nil, true, ""},
	{"keep-alive: expired", keepAlive, 404, nil, kvstore.ErrLeaseExpired, true, "7"},
	{"keep-alive: unexpected status", keepAlive, 400, nil, kvstore.ErrOutcomeUnknown, true, "7"},
	{"revoke: revoked", revoke, 200, nil, nil, true, ""},
	{"revoke: expired before", revoke, 404, nil, nil, true, ""},
	{"revoke: unavailable", revoke, 503, nil, kvstore.ErrUnavailable, false, "7"},
	{"watch: changes", watch, 200, protocol.WatchReply{Revision: 6}, nil, true, ""},
	{"watch: compacted", watch, 410, nil, kvstore.ErrCompacted, true, "some/key"},
	{"watch: no connection", watch, 0, nil, kvstore.ErrOutcomeUnknown, false, "connection refused"},
}

// TestOutcomes checks which error each operation returns for each response, and which
// responses show that the store serves this node. An unknown outcome that is taken for a
// known one would lose or repeat a write.
func TestOutcomes(t *testing.T) {
	for _, c := range outcomeCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body, raw := c.body.([]byte)
				if !raw && c.body != nil {
					var err error
					if body, err = codec.Marshal(c.body); err != nil {
						t.Fatal(err)
					}
				}
				limits := config.State{StateLimits: config.StateLimits{ValueKB: 32, TxnOps: 20}}
				client := kvstore.New("state:1", fake.FixedResponse{Status: c.status, Body: body}, httpclient.NewMalformedLog(slog.New(slog.DiscardHandler)), limits)
				time.Sleep(time.Second)
				err := c.operation(t.Context(), client)
				checkOutcome(t, err, c.want)
				if err != nil && !strings.Contains(err.Error(), c.wantText) {
					t.Errorf("error %q does not contain %q", err, c.wantText)
				}
				if served := client.SinceServed() == 0; served != c.wantServed {
					t.Errorf("the store counts as serving: %v, after error %v", served, err)
				}
			})
		})
	}
}

// checkOutcome checks that an error wraps the wanted sentinel and no other, except that
// ErrThrottled also wraps ErrUnavailable.
func checkOutcome(t *testing.T, err, want error) {
	t.Helper()
	if want == nil {
		if err != nil {
			t.Errorf("got error %v, want none", err)
		}
		return
	}
	for _, sentinel := range sentinels {
		if errors.Is(err, sentinel) != errors.Is(want, sentinel) {
			t.Errorf("got error %v, want %v", err, want)
		}
	}
	var failed *kvstore.OperationError
	if !errors.As(err, &failed) {
		t.Errorf("error %v does not wrap an OperationError", err)
	}
}
