package leader

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/agent"
	"marblehaven/internal/cluster"
	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

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

// Controllers may name a job as cancelled before its record with that was read. It is
// stopped at once, but nothing is written on the version that is known: it would fail,
// and with it every other write of the same commit.
func TestNamedBeforeItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, now := large(8, 2)
		defer withSilentStore(t, c)()
		named, other := c.jobs.open["req-000000"], c.jobs.open["req-000001"]
		dropAll(now, named, other)
		late := now.Add(time.Minute)
		c.Acknowledged = func(time.Time) (time.Time, []protocol.JobID, bool) { return late, []protocol.JobID{named.id}, true }
		c.confirmByPeers(late)
		if !named.cancelled || other.cancelled || !c.lease.lastProof().Equal(late) {
			t.Fatalf("cancelled %v and %v, authority %v", named.cancelled, other.cancelled, c.lease.lastProof().Sub(now))
		}
		c.commit(late)
		if c.writer.inFlight != nil {
			t.Error("a job was closed on a version that is behind")
		}
		o := records.OpenJob{AcceptedMS: now.UnixMilli(), Job: named.spec, Cancelled: true}
		b, _ := codec.Marshal(o)
		c.applyOpenRecord(records.OpenKey(named.id), b, named.openVersion+1, late)
		c.commit(late)
		isNamed := func(cl jobClosing) bool { return cl.job == named }
		if c.writer.inFlight == nil || !slices.ContainsFunc(c.writer.inFlight.closed, isNamed) {
			t.Error("a job whose record was read is not closed")
		}
	})
}
