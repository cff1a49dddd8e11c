package agent

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

type hangingTransport struct{ inFlight, maxInFlight atomic.Int32 }

func (h *hangingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	h.maxInFlight.Store(max(h.maxInFlight.Load(), h.inFlight.Add(1)))
	<-r.Context().Done()
	h.inFlight.Add(-1)
	return nil, r.Context().Err()
}

// A hundred machines hang at once: commands to them take a bounded number of
// sockets, each is tried all the same, and none holds its place for longer than
// one command may take.
func TestCommandsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &hangingTransport{}
		client := New(transport, httpclient.NewMalformedLog(slog.New(slog.DiscardHandler)), 20)
		start := time.Now()
		done := make(chan error)
		for range 100 {
			go func() {
				_, err := client.SendCommands(t.Context(), "m:1", protocol.CommandRequest{})
				done <- err
			}()
		}
		for range 100 {
			if err := <-done; !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("unexpected outcome: %v", err)
			}
		}
		if transport.maxInFlight.Load() > 20 {
			t.Errorf("%d commands at once", transport.maxInFlight.Load())
		}
		if took := time.Since(start); took > 5*tuning.CommandTimeout+time.Second {
			t.Errorf("took %v", took)
		}
	})
}
