package leader

import (
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

// A machine list may be older than the one before and lack machines that exist. It must
// not end placements or remove machines.
func TestOlderListProvesNothing(t *testing.T) {
	leader, now := newLoadedLeader(2100, 200)
	missing := 0
	for _, machine := range leader.machines.byID {
		missing += len(machine.Placements)
	}
	leader.onMachineList(machineListResult{machines: []protocol.ListedMachine{{ID: "m-000007", State: protocol.MachineStarting}}}, now)
	for _, machine := range leader.machines.byID {
		missing -= len(machine.Placements)
	}
	if len(leader.machines.byID) != 2100 || missing != 0 || len(leader.provisioner.deprovisionQueue) > 0 || len(leader.provisioner.deprovisionInFlight) > 0 {
		t.Errorf("%d machines are left, %d placements were lost, %d machines are queued to be deprovisioned", len(leader.machines.byID), missing, len(leader.provisioner.deprovisionQueue))
	}
}

// The read of a list of thousands of machines may begin long before its last page arrives.
// The list then names machines that were deprovisioned meanwhile. They must not be added as
// new machines: a machine that seems to boot counts as capacity to come and keeps others
// from being provisioned.
func TestLongListNamesRemovedMachine(t *testing.T) {
	leader, now := newLoadedLeader(0, 1)
	leader.Config.Deployment.Cloud.ListLagS = 6
	leader.provisioner.listInFlight, leader.catalog.nextRead = true, now.Add(2*time.Hour)
	leader.machines.removedAt["m-000007"] = now
	listed := []protocol.ListedMachine{{ID: "m-000007", Type: "big", State: protocol.MachineStarting}}
	leader.onTick(now.Add(time.Hour))
	leader.onMachineList(machineListResult{began: now.Add(time.Second), machines: listed}, now.Add(time.Hour))
	if leader.machines.byID["m-000007"] != nil {
		t.Error("a list whose read began just after a machine was deprovisioned added the machine again")
	}
	leader.onMachineList(machineListResult{began: now.Add(time.Hour)}, now.Add(time.Hour))
	if len(leader.machines.removedAt) > 0 {
		t.Error("the entry of a removed machine that no list can name any more was not pruned")
	}
}
