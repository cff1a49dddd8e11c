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

// Hundreds of machines that are queued in small groups are deprovisioned with one call at a
// time. Machines queued meanwhile go into the next call, those with tasks first. A call
// and its retries for each machine would leave no calls for provisioning.
func TestDeprovisioningTakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, now := newLoadedLeader(350, 30)
		transport := &recordingTransport{answer: make(chan struct{})}
		leader.Cloud = cloud.New("cloud:1", transport, httpclient.NewMalformedLog(leader.Log), 1000)
		for i := 0; i < 350; i += 10 {
			leader.deprovision(leader.machines.sorted[i:i+10], "test", now)
		}
		synctest.Wait()
		if n := len(transport.requestedHosts()); n != 1 {
			t.Fatalf("%d calls in flight at once", n)
		}
		var idle []*cluster.Machine
		for i, machine := range leader.machines.sorted[200:] {
			if i%2 == 0 {
				clear(machine.Placements)
				idle = append(idle, machine)
			}
		}
		transport.answer <- struct{}{}
		leader.handle(<-leader.inbox) // the call failed: its machines are queued again, with the rest
		if len(leader.provisioner.deprovisionInFlight) > 0 {
			t.Error("the failed call was repeated before the backoff ended")
		}
		time.Sleep(tuning.MachineBackoff)
		leader.deprovisionNext(time.Now())
		var deprovisioned []*cluster.Machine
		for len(leader.machines.byID) > 0 {
			synctest.Wait()
			deprovisioned = append(deprovisioned, leader.provisioner.deprovisionInFlight...)
			if n := len(leader.provisioner.deprovisionInFlight); n == 0 || n > tuning.DeprovisionMax {
				t.Fatalf("%d machines in one call", n)
			}
			leader.onDeprovisionResult(deprovisionResult{}, time.Now())
		}
		if slices.ContainsFunc(deprovisioned[:350-len(idle)], func(machine *cluster.Machine) bool { return slices.Contains(idle, machine) }) {
			t.Error("idle machines went before machines with tasks")
		}
		if len(deprovisioned) != 350 {
			t.Errorf("%d of 350 machines were deprovisioned", len(deprovisioned))
		}
		close(transport.answer)
	})
}

// A late heartbeat of a deprovisioned machine does not make the machine schedulable, even
// if the heartbeat arrives after the entry of the removed machine was pruned.
func TestRemovedMachineStaysRemoved(t *testing.T) {
	leader, now := newLoadedLeader(2, 1)
	machine := leader.machines.byID["m-000000"]
	heartbeat := fullHeartbeat(leader, 0, 7)
	heartbeat.Token, heartbeat.Tasks = machine.IssuedToken, nil
	leader.onHeartbeat(heartbeat, now)
	leader.provisioner.deprovisionInFlight = []*cluster.Machine{machine}
	leader.onDeprovisionResult(deprovisionResult{}, now)
	if leader.onHeartbeat(heartbeat, now); leader.machines.byID["m-000000"] != nil {
		t.Error("a late heartbeat added a machine that was just deprovisioned")
	}
	clear(leader.machines.removedAt)
	leader.onHeartbeat(heartbeat, now)
	if machine := leader.machines.byID["m-000000"]; machine == nil || machine.Schedulable(now, time.Minute) {
		t.Error("a late heartbeat made a deprovisioned machine schedulable")
	}
	acknowledging := fullHeartbeat(leader, 0, 8)
	acknowledging.Token, acknowledging.Tasks = leader.machines.byID["m-000000"].IssuedToken, nil
	leader.onHeartbeat(acknowledging, now)
	if !leader.machines.byID["m-000000"].Schedulable(now, time.Minute) {
		t.Error("a machine whose agent acknowledged the new token is not schedulable")
	}
}
