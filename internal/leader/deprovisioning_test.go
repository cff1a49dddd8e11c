package leader

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/cloud"
	"marblehaven/internal/cluster"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/tuning"
)

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

// A late report of a machine that was given back, long after that was forgotten,
// does not make it one to place work on.
func TestReturnedMachineStaysGone(t *testing.T) {
	c, now := large(2, 1)
	machine := c.machines.byID["m-000000"]
	heartbeat := fullReport(c, 0, 7)
	heartbeat.Token, heartbeat.Tasks = machine.IssuedToken, nil
	c.onHeartbeat(heartbeat, now)
	c.provisioner.deprovisionInFlight = []*cluster.Machine{machine}
	c.onDeprovisionResult(deprovisionResult{}, now)
	if c.onHeartbeat(heartbeat, now); c.machines.byID["m-000000"] != nil {
		t.Error("a copy revived a machine just given back")
	}
	clear(c.machines.removed)
	c.onHeartbeat(heartbeat, now)
	if machine := c.machines.byID["m-000000"]; machine == nil || machine.Schedulable(now, time.Minute) {
		t.Error("a copy made a machine usable that is gone")
	}
	r2 := fullReport(c, 0, 8)
	r2.Token, r2.Tasks = c.machines.byID["m-000000"].IssuedToken, nil
	c.onHeartbeat(r2, now)
	if !c.machines.byID["m-000000"].Schedulable(now, time.Minute) {
		t.Error("a machine that is there, and shows it, is not usable")
	}
}
