package fake

import (
	"net/http"
	"net/http/httptest"
	"time"

	"marblehaven/internal/codec"
)

// machineFaults holds the faults that a test injects into a machine.
type machineFaults struct {
	hung            bool
	preemptionAt    time.Time     // when the machine is preempted; zero: no notice was given
	nextCommandHang time.Duration // how long the machine hangs before it answers the next command; 0: not at all
}

// Kill removes a machine without notice: from then on it neither answers nor sends.
func (e *Environment) Kill(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remove(id)
}

// remove removes a machine with its tasks; its address then refuses connections. The caller
// holds the mutex.
func (e *Environment) remove(id string) {
	if machine := e.machines[id]; machine != nil {
		machine.markRemoved()
		delete(e.machines, id)
		e.Network.Listen(id, machine.addr, nil)
		e.updateGangs()
	}
}

// NoticePreemption gives a machine notice of its preemption, and kills the machine when the
// notice period ends.
func (e *Environment) NoticePreemption(id string, noticePeriod time.Duration) {
	e.mu.Lock()
	machine := e.machines[id]
	machine.preemptionAt = time.Now().Add(noticePeriod)
	machine.markStatusChanged()
	e.mu.Unlock()
	go func() {
		time.Sleep(noticePeriod)
		e.Kill(id)
	}()
}

// Reboot ends a machine's tasks and makes its agent lose its image cache, counters and
// fencing token. The machine hangs for the downtime and is then in its first incarnation.
// Answers to what was sent before the reboot are lost. A machine that is gone does not reboot.
func (e *Environment) Reboot(id string, downtime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	machine := e.machines[id]
	if machine == nil {
		return
	}
	machine.tasks, machine.imageCache, machine.hung = nil, map[string]bool{}, true
	machine.resetAgent()
	e.updateGangs()
	go func() {
		time.Sleep(downtime)
		e.mu.Lock()
		defer e.mu.Unlock()
		machine.resetAgent()
		machine.hung, machine.statusChanged = false, true
	}()
}

// resetAgent gives the agent the state that it has after a boot.
func (m *machineAgent) resetAgent() {
	now := time.Now()
	m.agentIncarnation = agentIncarnation{incarnation: 1, incarnationStart: now}
	m.machineBoot = machineBoot{boots: m.boots + 1, bootedAt: now}
}

// CopyLastHeartbeat returns a function that delivers a copy of the machine's latest heartbeat to
// every controller, as a network does that repeats messages. Cuts do not hold the copy.
func (e *Environment) CopyLastHeartbeat(id string) (deliver func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	machine := e.machines[id]
	heartbeat := machine.lastHeartbeat
	body, _ := codec.Marshal(heartbeat)
	return func() {
		for _, addr := range e.NodeAddrs() {
			request := httptest.NewRequest(http.MethodPost, "http://"+addr+heartbeatPath, nil)
			e.Network.deliverCopy(request, body, id)
		}
	}
}

// Hang stops a machine from advancing its tasks, sending and answering, until the returned
// function is called. The agent's lease can expire in that time.
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

// hungPollInterval is the time between two checks whether a machine still hangs.
const hungPollInterval = 50 * time.Millisecond
