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

// hangingTransport is a transport that never responds and counts the requests in flight.
type hangingTransport struct{ inFlight, maxInFlight atomic.Int32 }

func (h *hangingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	h.maxInFlight.Store(max(h.maxInFlight.Load(), h.inFlight.Add(1)))
	<-r.Context().Done()
	h.inFlight.Add(-1)
	return nil, r.Context().Err()
}

// TestCommandsAtOnce sends commands to a hundred machines that hang. The number of requests
// in flight must stay within the limit, every command must be sent, and each request must
// free its slot after CommandTimeout.
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
				t.Errorf("got error %v, want context.DeadlineExceeded", err)
			}
		}
		if transport.maxInFlight.Load() > 20 {
			t.Errorf("%d requests in flight, want at most 20", transport.maxInFlight.Load())
		}
		if took := time.Since(start); took > 5*tuning.CommandTimeout+time.Second {
			t.Errorf("all commands took %v, want at most five times CommandTimeout and a second", took)
		}
	})
}
