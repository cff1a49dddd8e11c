package fake

import (
	"time"
)

// machineFaults is what a test makes go wrong with a machine.
type machineFaults struct {
	hung            bool
	preemptionAt    time.Time
	nextCommandHang time.Duration // how long the machine hangs within the next command; 0: not at all
}

// Kill removes a machine without notice: it neither answers nor sends anything any more.
func (e *Environment) Kill(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remove(id)
}

// remove ends a machine. The caller holds the mutex.
func (e *Environment) remove(id string) {
	if machine := e.machines[id]; machine != nil {
		machine.markRemoved()
		delete(e.machines, id)
		e.Network.Listen(id, machine.addr, nil)
		e.updateGangs()
	}
}

// NoticePreemption sends a preemption notice for a machine, and kills the machine when the
// notice ends.
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

// Reboot ends a machine's tasks and makes its agent lose its image cache, counters and
// fencing token. The machine is back after the given time, in its first incarnation.
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

// Hang stops a machine from advancing its tasks, sending and answering, until the returned
// function is called. Its lease expires all the same.
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

// HangInCommand makes a machine hang between carrying out the next direct command and
// answering it.
func (e *Environment) HangInCommand(id string, length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if machine := e.machines[id]; machine != nil {
		machine.nextCommandHang = length
	}
}

// awaitNotHung releases the mutex until the machine no longer hangs or is removed.
func (m *machineAgent) awaitNotHung() {
	for m.hung && !m.removed {
		m.env.mu.Unlock()
		time.Sleep(hungPollInterval)
		m.env.mu.Lock()
	}
}

// hungPollInterval is the time between two looks at whether a machine still hangs.
const hungPollInterval = 50 * time.Millisecond
