package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/agent"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// A new leader makes handshakes with thousands of machines: not all at once, which would
// take the processor's time from the answers that renew leases, and with machines that
// run production first.
func TestHandshakesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, now := newLoadedLeader(2100, 1000)
		transport := &recordingTransport{answer: make(chan struct{})}
		defer close(transport.answer)
		leader.Agents = agent.New(transport, httpclient.NewMalformedLog(leader.Log), 5000)
		leader.leadership.Term++ // a leader that has seen none of them yet
		production := map[string]bool{}
		for i, machine := range leader.machines.sorted {
			machine.Addr = machine.ID + ":1"
			if i%50 == 49 {
				production[machine.ID] = true
				for k := range machine.Placements {
					leader.jobs.open[k.Job].spec.Priority = protocol.PriorityProduction
				}
			}
		}
		for _, machine := range leader.machines.sorted { // a job is on several machines
			for k := range machine.Placements {
				production[machine.ID] = production[machine.ID] || leader.jobs.open[k.Job].priority() == 0
			}
		}
		leader.planHandshakes(now)
		synctest.Wait()
		first := transport.requestedHosts()
		if len(first) != tuning.HandshakesInFlight {
			t.Fatalf("%d handshakes at once", len(first))
		}
		for _, id := range first {
			if !production[id] {
				t.Fatalf("%s came before production's machines", id)
			}
		}
		// The first hang, and hold nothing up for longer than a command may take.
		for len(leader.dispatcher.handshakeQueue) > 0 || leader.dispatcher.handshakesInFlight > 0 {
			leader.handle(<-leader.inbox)
		}
		if n := len(transport.requestedHosts()); n < 2100 {
			t.Errorf("handshakes with %d of 2100", n)
		}
		leader.planHandshakes(time.Now())
		synctest.Wait()
		if leader.dispatcher.handshakesInFlight != tuning.HandshakesInFlight {
			t.Errorf("%d handshakes again", leader.dispatcher.handshakesInFlight)
		}
	})
}
