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

// A new leader handshake thousands of machines: not all at once, which would take
// the processor's time from the answers that hold their leases, and those with
// production first.
func TestGreetsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, now := large(2100, 1000)
		w := &calls{answer: make(chan struct{})}
		defer close(w.answer)
		c.Agents = agent.New(w, httpclient.NewMalformedLog(c.Log), 5000)
		c.leadership.Term++ // a leader that has seen none of them yet
		production := map[string]bool{}
		for i, machine := range c.machines.sorted {
			machine.Addr = machine.ID + ":1"
			if i%50 == 49 {
				production[machine.ID] = true
				for k := range machine.Placements {
					c.jobs.open[k.Job].spec.Priority = protocol.PriorityProduction
				}
			}
		}
		for _, machine := range c.machines.sorted { // a job is on several machines
			for k := range machine.Placements {
				production[machine.ID] = production[machine.ID] || c.jobs.open[k.Job].priority() == 0
			}
		}
		c.planHandshakes(now)
		synctest.Wait()
		first := w.seen()
		if len(first) != tuning.HandshakesInFlight {
			t.Fatalf("%d handshakes at once", len(first))
		}
		for _, id := range first {
			if !production[id] {
				t.Fatalf("%s came before production's machines", id)
			}
		}
		// The first hang, and hold nothing up for longer than a command may take.
		for len(c.dispatcher.handshakeQueue) > 0 || c.dispatcher.handshakesInFlight > 0 {
			c.handle(<-c.inbox)
		}
		if n := len(w.seen()); n < 2100 {
			t.Errorf("handshakes with %d of 2100", n)
		}
		c.planHandshakes(time.Now())
		synctest.Wait()
		if c.dispatcher.handshakesInFlight != tuning.HandshakesInFlight {
			t.Errorf("%d handshakes again", c.dispatcher.handshakesInFlight)
		}
	})
}
