package fake

import (
	"time"
)

// machineFaults is what a test makes go wrong with a machine.
type machineFaults struct {
	hung            bool
	preemptionAt    time.Time
	nextCommandHang time.Duration // how long it hangs in the middle of the next command
}

// Kill takes a machine away without a word.
func (e *Environment) Kill(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remove(id)
}

func (e *Environment) remove(id string) {
	if machine := e.machines[id]; machine != nil {
		machine.markRemoved()
		delete(e.machines, id)
		e.Network.Listen(id, machine.addr, nil)
		e.updateGangs()
	}
}

// NoticePreemption announces that a machine will be taken.
func (e *Environment) NoticePreemption(id string, in time.Duration) {
	e.mu.Lock()
	machine := e.machines[id]
	machine.preemptionAt = time.Now().Add(in)
	machine.markStatusChanged()
	e.mu.Unlock()
	go func() {
		time.Sleep(in)
		e.Kill(id)
	}()
}

// Reboot ends all that a machine knows and runs, its counters and its token with
// it; it is back after the given time.
func (e *Environment) Reboot(id string, after time.Duration) {
	e.mu.Lock()
	machine := e.machines[id]
	machine.tasks, machine.imageCache, machine.hung = nil, map[string]bool{}, true
	machine.incarnation, machine.sequence, machine.token = 1, 0, 0
	e.updateGangs()
	e.mu.Unlock()
	go func() {
		time.Sleep(after)
		e.mu.Lock()
		defer e.mu.Unlock()
		machine.incarnation, machine.sequence, machine.token, machine.incarnationStart, machine.leaseRenewed = 1, 0, 0, time.Now(), time.Time{}
		machine.hung, machine.statusChanged = false, true
	}()
}

// Hang stops a machine from doing anything until the returned function is
// called.
func (e *Environment) Hang(id string) func() {
	e.mu.Lock()
	defer e.mu.Unlock()
	machine := e.machines[id]
	machine.hung = true
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		machine.hung = false
	}
}

// HangInCommand makes a machine hang between carrying out the next direct command
// and answering it.
func (e *Environment) HangInCommand(id string, length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if machine := e.machines[id]; machine != nil {
		machine.nextCommandHang = length
	}
}

// awaitNotHung releases the lock until the machine goes on or is removed.
func (m *machineAgent) awaitNotHung() {
	for m.hung && !m.removed {
		m.env.mu.Unlock()
		time.Sleep(hungPollInterval)
		m.env.mu.Lock()
	}
}

// hungPollInterval is the time between two looks at whether a machine still hangs.
const hungPollInterval = 50 * time.Millisecond
