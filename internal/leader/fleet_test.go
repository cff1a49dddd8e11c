package leader

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/agent"
	"marblehaven/internal/cloud"
	"marblehaven/internal/cluster"
	"marblehaven/internal/config"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// calls notes the calls that come and answers when told to.
type calls struct {
	mu     sync.Mutex
	hosts  []string
	answer chan struct{}
}

func (c *calls) RoundTrip(r *http.Request) (*http.Response, error) {
	c.mu.Lock()
	c.hosts = append(c.hosts, r.URL.Hostname())
	c.mu.Unlock()
	select {
	case <-c.answer:
		return &http.Response{StatusCode: 503, Body: http.NoBody}, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func (c *calls) seen() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.hosts)
}

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

// Hundreds of machines to be given back, some at a time, take one call at a
// time, with what came meanwhile in the next, and those with tasks first: each
// by itself, retried by itself, would take all calls from the rentals.
func TestReturnsTakeFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, now := large(350, 30)
		w := &calls{answer: make(chan struct{})}
		c.Cloud = cloud.New("cloud:1", w, httpclient.NewMalformedLog(c.Log), 1000)
		for i := 0; i < 350; i += 10 {
			c.deprovision(c.machines.sorted[i:i+10], "test", now)
		}
		synctest.Wait()
		if n := len(w.seen()); n != 1 {
			t.Fatalf("%d calls at once", n)
		}
		var idle []*cluster.Machine
		for i, machine := range c.machines.sorted[200:] {
			if i%2 == 0 {
				clear(machine.Placements)
				idle = append(idle, machine)
			}
		}
		w.answer <- struct{}{}
		c.handle(<-c.inbox) // failed: they are tried again after a while, with the rest
		if len(c.provisioner.deprovisionInFlight) > 0 {
			t.Error("called again at once")
		}
		time.Sleep(tuning.MachineBackoff)
		c.deprovisionNext(time.Now())
		var order []*cluster.Machine
		for len(c.machines.byID) > 0 {
			synctest.Wait()
			order = append(order, c.provisioner.deprovisionInFlight...)
			if n := len(c.provisioner.deprovisionInFlight); n == 0 || n > tuning.DeprovisionMax {
				t.Fatalf("%d in a call", n)
			}
			c.onDeprovisionResult(deprovisionResult{}, time.Now())
		}
		if slices.ContainsFunc(order[:350-len(idle)], func(machine *cluster.Machine) bool { return slices.Contains(idle, machine) }) {
			t.Error("idle machines went before those with tasks")
		}
		if len(order) != 350 {
			t.Errorf("%d given back", len(order))
		}
		close(w.answer)
	})
}

// A list may be older than the one before and lack machines that are there: it
// frees no task, and drops no machine.
func TestOlderListProvesNothing(t *testing.T) {
	c, now := large(2100, 200)
	live := 0
	for _, machine := range c.machines.byID {
		live += len(machine.Placements)
	}
	c.onMachineList(machineListResult{machines: []protocol.ListedMachine{{ID: "m-000007", State: protocol.MachineStarting}}}, now)
	for _, machine := range c.machines.byID {
		live -= len(machine.Placements)
	}
	if len(c.machines.byID) != 2100 || live != 0 || len(c.provisioner.deprovisionQueue) > 0 || len(c.provisioner.deprovisionInFlight) > 0 {
		t.Errorf("%d machines are left, %d tasks less, %d to be returned", len(c.machines.byID), live, len(c.provisioner.deprovisionQueue))
	}
}

// A leader that stood still for seconds while its clocks ran on finds every
// machine silent and every job waiting at once. Its last proof of authority is as
// old: it decides nothing, gives nothing back, calls nobody and keeps its term to
// itself until the state service has spoken.
func TestStandingStill(t *testing.T) {
	free := func(c *Leader) {
		for _, machine := range c.machines.sorted[:50] {
			for _, placement := range machine.Placements {
				delete(c.jobs.open[placement.Job].placements, placement.Task)
			}
			clear(machine.Placements)
		}
		c.provisioner.listInFlight, c.provisioner.listed, c.catalog.nextRead, c.images.nextSave = true, true, c.tookOverAt.Add(time.Hour), c.tookOverAt.Add(time.Hour)
	}
	placed := func(c *Leader) (n int) {
		for _, machine := range c.machines.sorted[:50] {
			n += len(machine.Placements)
		}
		return n
	}
	c, now := large(2100, 1000)
	free(c)
	if c.schedule(now); placed(c) == 0 {
		t.Fatal("nothing was to be decided")
	}
	c, now = large(2100, 1000)
	free(c)
	resigned := false
	c.Config.Peers, c.lease.heardMajority = make([]config.Peer, 4), true
	c.Resign = func() { resigned = true }
	// One start was recorded and not yet sent: its job may be cancelled by now.
	machine := c.machines.sorted[100]
	var start *cluster.Placement
	for _, start = range machine.Placements {
		break
	}
	start.Recorded, start.Sent, start.Incarnation = true, false, machine.Incarnation
	machine.Addr, machine.Outbox = machine.ID+":1", []*cluster.Placement{start}
	for _, still := range []time.Duration{4, 8, 12} {
		later := now.Add(still * time.Second)
		c.onTick(later)
		c.runCycle(later)
		calls := 0
		for _, machine := range c.machines.byID {
			if machine.CommandInFlight {
				calls++
			}
		}
		if n := placed(c); n > 0 || len(c.provisioner.deprovisionQueue)+len(c.provisioner.deprovisionInFlight)+calls+len(c.provisioner.requests) > 0 || c.writer.inFlight != nil || resigned {
			t.Errorf("after %d s: %d placed, %d to be returned, %d called, resigned %v", still, n, len(c.provisioner.deprovisionQueue)+len(c.provisioner.deprovisionInFlight), calls, resigned)
		}
	}
	// Once the state service has spoken the start goes out.
	w := &calls{answer: make(chan struct{})}
	defer close(w.answer)
	c.Agents = agent.New(w, httpclient.NewMalformedLog(c.Log), 5000)
	later := now.Add(12 * time.Second)
	c.lease.confirmedByWatch, c.lease.confirmedByTerm = later, later
	if c.dispatch(machine, later); !start.Sent || len(machine.Outbox) > 0 {
		t.Error("a start that waited for the state service was never sent")
	}
}

// A list of thousands of machines may have begun long before its last page comes. It
// names machines that were given back meanwhile, which must not be taken for rented: the
// room of one that seems to boot keeps others from being rented.
func TestLongListNamesReturnedMachine(t *testing.T) {
	c, now := large(0, 1)
	c.Config.Deployment.Cloud.ListLagS = 6
	c.provisioner.listInFlight, c.catalog.nextRead = true, now.Add(2*time.Hour)
	c.machines.removed["m-000007"] = now
	listed := []protocol.ListedMachine{{ID: "m-000007", Type: "big", State: protocol.MachineStarting}}
	c.onTick(now.Add(time.Hour))
	c.onMachineList(machineListResult{began: now.Add(time.Second), machines: listed}, now.Add(time.Hour))
	if c.machines.byID["m-000007"] != nil {
		t.Error("a list that began just after a machine was given back revived it")
	}
	c.onMachineList(machineListResult{began: now.Add(time.Hour)}, now.Add(time.Hour))
	if len(c.machines.removed) > 0 {
		t.Error("a machine is remembered that no list can name")
	}
}
