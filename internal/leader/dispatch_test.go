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

// A new leader makes handshakes with thousands of machines. The number in flight is
// limited, since all at once would take processor time from the replies that renew leases,
// and machines with production tasks come first.
func TestHandshakesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, now := newLoadedLeader(2100, 1000)
		transport := &recordingTransport{answer: make(chan struct{})}
		defer close(transport.answer)
		leader.Agents = agent.New(transport, httpclient.NewMalformedLog(leader.Log), 5000)
		leader.leadership.Term++ // a new term, in which no machine has acknowledged a token
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
		for _, machine := range leader.machines.sorted { // the tasks of a job are on several machines
			for k := range machine.Placements {
				production[machine.ID] = production[machine.ID] || leader.jobs.open[k.Job].priority() == 0
			}
		}
		leader.planHandshakes(now)
		synctest.Wait()
		first := transport.requestedHosts()
		if len(first) != tuning.HandshakesInFlight {
			t.Fatalf("%d handshakes in flight at once, not the limit", len(first))
		}
		for _, id := range first {
			if !production[id] {
				t.Fatalf("handshake with %s before those with machines that run production tasks", id)
			}
		}
		// The first handshakes hang. They delay the others by tuning.CommandTimeout at most.
		for len(leader.dispatcher.handshakeQueue) > 0 || leader.dispatcher.handshakesInFlight > 0 {
			leader.handle(<-leader.inbox)
		}
		if n := len(transport.requestedHosts()); n < 2100 {
			t.Errorf("handshakes with %d of 2100 machines", n)
		}
		leader.planHandshakes(time.Now())
		synctest.Wait()
		if leader.dispatcher.handshakesInFlight != tuning.HandshakesInFlight {
			t.Errorf("%d handshakes in flight after planning again, not the limit", leader.dispatcher.handshakesInFlight)
		}
	})
}
