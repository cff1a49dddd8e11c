package leader

import (
	"math"
	"slices"
	"strings"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
)

// machineTable holds the machines that are known.
type machineTable struct {
	byID   map[string]*cluster.Machine
	sorted []*cluster.Machine // the same, in the order of their names
	// firstToken is the first token issued to a machine that becomes known.
	firstToken protocol.FencingToken
	// removedAt remembers when machines were deprovisioned, for as long as a machine
	// list or a late heartbeat may still name them (see pruneRemoved).
	removedAt map[string]time.Time
}

func newMachineTable(firstToken protocol.FencingToken) machineTable {
	return machineTable{byID: map[string]*cluster.Machine{}, firstToken: firstToken, removedAt: map[string]time.Time{}}
}

func (t *machineTable) add(machine *cluster.Machine) {
	t.byID[machine.ID] = machine
	position, _ := slices.BinarySearchFunc(t.sorted, machine.ID, func(m *cluster.Machine, id string) int {
		return strings.Compare(m.ID, id)
	})
	t.sorted = slices.Insert(t.sorted, position, machine)
}

// remove drops a machine that was deprovisioned.
func (t *machineTable) remove(machine *cluster.Machine, now time.Time) {
	delete(t.byID, machine.ID)
	// Should a late heartbeat of it come when it is no longer remembered, the machine
	// must show a token that its agent cannot have seen, so that nothing is placed there.
	t.firstToken = max(t.firstToken, machine.IssuedToken+1)
	t.sorted = slices.DeleteFunc(t.sorted, func(m *cluster.Machine) bool { return m == machine })
	t.removedAt[machine.ID] = now
}

func (t *machineTable) wasRemoved(id string) bool {
	_, removed := t.removedAt[id]
	return removed
}

// pruneRemoved forgets the machines that were deprovisioned so long before a machine
// list was begun that neither it nor a later list names them. When the list's answer
// came proves nothing: a list of thousands of machines has many pages, each of which
// waits for its turn among the cloud's calls.
func (t *machineTable) pruneRemoved(listBegan time.Time, lag time.Duration) {
	for id, at := range t.removedAt {
		if listBegan.Sub(at) > lag {
			delete(t.removedAt, id)
		}
	}
}

// machineByID returns a machine, which is made known if it is not yet.
func (l *Leader) machineByID(id string, now time.Time) *cluster.Machine {
	if machine := l.machines.byID[id]; machine != nil {
		return machine
	}
	// An earlier leader may go on answering the machine's heartbeats for the whole of
	// its leader lease, and only then does the agent's lease begin to run out. Until
	// that has expired the tasks recorded there may run.
	expiry := l.agentLeaseExpiry(l.tookOverAt.Add(l.lease.duration))
	machine := cluster.NewMachine(id, l.machines.firstToken, now, expiry)
	l.machines.add(machine)
	l.cycle.request()
	return machine
}

// removeMachine drops a machine that was deprovisioned.
func (l *Leader) removeMachine(machine *cluster.Machine, now time.Time) {
	l.machines.remove(machine, now)
	l.dispatcher.remove(machine)
	l.cycle.request()
}

// bootTimeS is the usual boot time of a machine in seconds; of an unknown type, the
// longest of all types.
func (l *Leader) bootTimeS(machine *cluster.Machine) float64 {
	if i, ok := l.catalog.index[machine.Type]; ok {
		return l.catalog.types[i].BootS
	}
	longest := 0.0
	for _, machineType := range l.catalog.types {
		longest = math.Max(longest, machineType.BootS)
	}
	return longest
}
