package leader

import (
	"math"
	"slices"
	"strings"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
)

// machineTable holds the machines that a record, a heartbeat, the cloud's answer to a
// provisioning request or the machine list has named.
type machineTable struct {
	byID   map[string]*cluster.Machine
	sorted []*cluster.Machine // the same machines, in the order of their IDs
	// firstToken is the first token issued to a machine that is added.
	firstToken protocol.FencingToken
	// removedAt holds when machines were deprovisioned, by ID. An entry stays as long as a
	// machine list may still name the machine (see pruneRemoved), and keeps late
	// heartbeats from adding the machine again.
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

// remove removes a machine that was deprovisioned.
func (t *machineTable) remove(machine *cluster.Machine, now time.Time) {
	delete(t.byID, machine.ID)
	// A late heartbeat may add the machine again after its entry in removedAt was pruned.
	// The machine is then issued a token that its agent cannot have received, and
	// nothing is placed there unless the agent acknowledges that token.
	t.firstToken = max(t.firstToken, machine.IssuedToken+1)
	t.sorted = slices.DeleteFunc(t.sorted, func(m *cluster.Machine) bool { return m == machine })
	t.removedAt[machine.ID] = now
}

func (t *machineTable) wasRemoved(id string) bool {
	_, removed := t.removedAt[id]
	return removed
}

// pruneRemoved deletes the entries of machines that were deprovisioned more than lag
// before the read of a machine list began: neither that list nor a later one names them.
// The time at which a list is complete proves nothing, since a list of thousands of
// machines has many pages, and each page waits for its turn among the cloud's calls.
func (t *machineTable) pruneRemoved(listBegan time.Time, lag time.Duration) {
	for id, at := range t.removedAt {
		if listBegan.Sub(at) > lag {
			delete(t.removedAt, id)
		}
	}
}

// ensureMachine returns the machine with an ID, and adds the machine if it is not in the
// table yet.
func (l *Leader) ensureMachine(id string, now time.Time) *cluster.Machine {
	if machine := l.machines.byID[id]; machine != nil {
		return machine
	}
	// An earlier leader may answer the machine's heartbeats until its leader lease ends,
	// and each answer renews the agent's lease. The tasks recorded on the machine may run
	// until an agent's lease that was renewed at the end of the leader lease has expired.
	expiry := l.agentLeaseExpiry(l.tookOverAt.Add(l.lease.duration))
	machine := cluster.NewMachine(id, l.machines.firstToken, now, expiry)
	l.machines.add(machine)
	l.cycle.request()
	return machine
}

// removeMachine removes a machine that was deprovisioned, and the commands due for it.
func (l *Leader) removeMachine(machine *cluster.Machine, now time.Time) {
	l.machines.remove(machine, now)
	l.dispatcher.remove(machine)
	l.cycle.request()
}

// bootTimeS is the usual boot time of a machine in seconds; for a machine of an unknown
// type, the longest of all types.
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
