package agent

import (
	"errors"
	"log/slog"
	"strings"
	"testing"

	"marblehaven/internal/codec"
	"marblehaven/internal/fake"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
)

// TestOutcomes checks which responses are returned as heartbeats. Any other response must be
// an error, because it leaves open whether the commands are executed.
func TestOutcomes(t *testing.T) {
	validHeartbeat, err := codec.Marshal(protocol.Heartbeat{Machine: "m-1", Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	invalidHeartbeat, err := codec.Marshal(protocol.Heartbeat{})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name          string
		status        int
		body          []byte
		wantHeartbeat bool
	}{
		{"executed", 200, validHeartbeat, true},
		{"rejected, with a heartbeat", 409, validHeartbeat, true},
		{"executed, without a heartbeat", 200, nil, false},
		{"rejected, without a heartbeat", 409, nil, false},
		{"a heartbeat that makes no sense", 200, invalidHeartbeat, false},
		{"a rejection that makes no sense", 409, invalidHeartbeat, false},
		{"another status with a heartbeat", 500, validHeartbeat, false},
		{"no connection", 0, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := New(fake.FixedResponse{Status: c.status, Body: c.body}, httpclient.NewMalformedLog(slog.New(slog.DiscardHandler)), 1)
			heartbeat, err := client.SendCommands(t.Context(), "m-1:80", protocol.CommandRequest{})
			if c.wantHeartbeat {
				if err != nil || heartbeat.Machine != "m-1" {
					t.Errorf("got heartbeat %v, error %v; want the heartbeat of m-1", heartbeat, err)
				}
				return
			}
			var failed *CommandError
			if !errors.As(err, &failed) || failed.Address != "m-1:80" || !strings.Contains(err.Error(), "m-1:80") {
				t.Errorf("got error %v, want a CommandError that names m-1:80", err)
			}
		})
	}
}
