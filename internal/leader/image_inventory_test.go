package leader

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// A new leader restores the cached images of a machine from the inventory that the
// previous leader wrote.
func TestImageInventoryIsInherited(t *testing.T) {
	leader, now := newLoadedLeader(2, 1)
	machine := leader.machines.byID["m-000001"]
	for _, name := range []string{"a", "b", "c"} {
		machine.RecordImageUse(name, 10, 40)
	}
	inventory, _ := newImageInventoryRecord(leader.machines.sorted, 32<<10)
	raw, _ := codec.Marshal(inventory)
	next, _ := newLoadedLeader(0, 1)
	var inherited records.ImageInventory
	if err := codec.Unmarshal(raw, &inherited); err != nil {
		t.Fatal(err)
	}
	next.images.inherited["m-000001"] = &inherited
	next.onHeartbeat(&protocol.Heartbeat{Machine: "m-000001", Addr: "x:1", MachineType: "big", Zone: "a", Incarnation: 1, Sequence: 9}, now)
	if d := cmp.Diff(machine.Images(), next.machines.byID["m-000001"].Images()); d != "" {
		t.Error("cached images differ (-want +got):", d)
	}
}
