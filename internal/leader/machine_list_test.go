package leader

import (
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

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
