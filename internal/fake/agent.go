package fake

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"marblehaven/internal/protocol"
)

// agents holds the machines' agents and what tests set or count for all of them.
type agents struct {
	step             time.Duration              // interval at which a machine advances its tasks
	runTimeIncrement float64                    // share of the run time by which each task of an array runs longer than the one before
	onJobDone        func(jobID protocol.JobID) // called when the last task of a job has completed
	savedCheckpoints int                        // tasks that stopped with a checkpoint
	leaseExpiries    int                        // leases that expired while the agent had tasks
	machines         map[string]*machineAgent
}

// defaultStep is short compared with the time limits of the checker's rules. A test with
// thousands of machines may set a longer step.
const defaultStep = 50 * time.Millisecond

// machineIdentity holds what stays the same from a machine's provisioning to its removal.
type machineIdentity struct {
	id            string
	addr          string
	machineType   protocol.MachineType
	zone          string
	spot          bool
	provisionedAt time.Time
}

// agentIncarnation is an agent's state in its current incarnation. An incarnation ends,
// with all its tasks, when the agent's lease expires or the machine reboots.
type agentIncarnation struct {
	incarnation      protocol.Incarnation
	sequence         uint64
	token            protocol.FencingToken
	incarnationStart time.Time
	leaseRenewed     time.Time // when the last answered heartbeat was sent
}

// machineBoot counts the boots of a machine. What was sent before a boot is handled differently
// after it.
type machineBoot struct {
	boots    int
	bootedAt time.Time
	// answered is set once a heartbeat sent after the boot has been answered.
	answered bool
}

// machineAgent simulates one machine with its agent. It sends heartbeats to a controller,
// carries out commands from the replies and from direct calls, and advances its tasks.
type machineAgent struct {
	machineIdentity
	agentIncarnation
	machineBoot
	machineFaults
	commandRate commandRate

	env           *Environment
	up            bool
	removed       bool
	tasks         []*agentTask
	imageCache    map[string]bool
	statusChanged bool // since the last heartbeat, so the next one is due early
	nodeIndex     int  // index of the node for the next heartbeat, modulo the number of nodes
	lastHeartbeat protocol.Heartbeat
}

// newMachine adds a machine that is up after its type's boot time, and returns its ID. The
// caller holds the mutex.
func (e *Environment) newMachine(typeName, zone string, spot bool) string {
	id := fmt.Sprintf("m-%06d", e.nextID)
	e.nextID++
	machine := &machineAgent{
		machineIdentity: machineIdentity{
			id:            id,
			addr:          id + ":9000",
			machineType:   e.types[typeName],
			zone:          zone,
			spot:          spot,
			provisionedAt: time.Now(),
		},
		env:        e,
		imageCache: map[string]bool{},
	}
	e.machines[id] = machine
	go machine.run()
	return id
}

// run boots the machine and then advances its tasks, until it is removed or the test ends.
func (m *machineAgent) run() {
	time.Sleep(time.Duration(m.machineType.BootS * float64(time.Second)))
	m.env.mu.Lock()
	if m.removed {
		m.env.mu.Unlock()
		return
	}
	m.up, m.incarnation, m.incarnationStart, m.bootedAt = true, 1, time.Now(), time.Now()
	m.env.mu.Unlock()
	m.env.Network.Listen(m.id, m.addr, http.HandlerFunc(m.serveCommands))
	go m.sendHeartbeats()
	for {
		time.Sleep(m.env.currentStep())
		m.env.mu.Lock()
		if m.shouldStop() {
			m.env.mu.Unlock()
			return
		}
		m.expireLease() // a hung machine's lease expires too
		if !m.hung {
			m.advanceTasks(m.env.step.Seconds())
		}
		m.env.mu.Unlock()
	}
}

// shouldStop reports whether the machine was removed or the test has ended.
func (m *machineAgent) shouldStop() bool { return m.removed || m.env.ctx.Err() != nil }

// expireLease ends the incarnation if the agent's lease has expired: the tasks end and the
// next incarnation starts without tasks. The lease runs from the incarnation's start or from
// the last heartbeat that was answered.
func (m *machineAgent) expireLease() {
	leaseStart := m.incarnationStart
	if m.leaseRenewed.After(leaseStart) {
		leaseStart = m.leaseRenewed
	}
	if time.Since(leaseStart).Seconds() > m.env.Cfg.Workers.LeaseS {
		if len(m.tasks) > 0 {
			m.env.leaseExpiries++
		}
		m.tasks, m.incarnation, m.incarnationStart, m.statusChanged = nil, m.incarnation+1, time.Now(), true
		m.env.updateGangs()
	}
}

// setToken keeps the highest fencing token that the agent has received.
func (m *machineAgent) setToken(token protocol.FencingToken) {
	if token > m.token {
		m.token, m.statusChanged = token, true
	}
}

// Machines lists the IDs of the machines that are up, in order.
func (e *Environment) Machines() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for id, machine := range e.machines {
		if machine.up {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// MachinesOf lists in order the machine ID of each task of a job that has not exited. A machine
// with several such tasks is listed once for each. Tasks whose image is still being fetched count.
func (e *Environment) MachinesOf(jobID protocol.JobID) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for id, machine := range e.machines {
		for _, task := range machine.tasks {
			if task.jobID == jobID && task.state != protocol.TaskExited {
				out = append(out, id)
			}
		}
	}
	slices.Sort(out)
	return out
}

// Zone returns a machine's zone, or "" for an unknown machine.
func (e *Environment) Zone(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if machine := e.machines[id]; machine != nil {
		return machine.zone
	}
	return ""
}

// markRemoved makes the machine's loops return at their next check of shouldStop.
func (m *machineAgent) markRemoved() { m.removed = true }

// markStatusChanged makes the next heartbeat due early.
func (m *machineAgent) markStatusChanged() { m.statusChanged = true }
