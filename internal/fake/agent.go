package fake

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"marblehaven/internal/protocol"
)

// agents is what the machines' agents have in common.
type agents struct {
	Step          time.Duration              // between two looks of a machine at what it runs
	Uneven        float64                    // how much longer each task of an array runs than the one before
	OnDone        func(jobID protocol.JobID) // told when the last task of an array has completed
	Saved         int                        // tasks that were stopped and saved
	LeaseExpiries int                        // leases that ran out with tasks

	machines map[string]*machineAgent
}

// defaultStep is fine enough for the times in the rules; a world of thousands of machines
// may take longer steps.
const defaultStep = 50 * time.Millisecond

// machineIdentity is what a machine is from its provisioning to its removal.
type machineIdentity struct {
	id            string
	addr          string
	machineType   protocol.MachineType
	zone          string
	spot          bool
	provisionedAt time.Time
}

// agentIncarnation is what an agent knows of its present incarnation.
type agentIncarnation struct {
	incarnation      protocol.Incarnation
	sequence         uint64
	token            protocol.FencingToken
	incarnationStart time.Time // of the session
	leaseRenewed     time.Time // when the last answered report was sent
}

type machineAgent struct {
	machineIdentity
	agentIncarnation
	machineFaults

	env           *Environment
	up            bool
	removed       bool
	tasks         []*agentTask
	imageCache    map[string]bool
	statusChanged bool
	nodeIndex     int
}

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

func (m *machineAgent) run() {
	time.Sleep(time.Duration(m.machineType.BootS * float64(time.Second)))
	m.env.mu.Lock()
	if m.removed {
		m.env.mu.Unlock()
		return
	}
	m.up, m.incarnation, m.incarnationStart = true, 1, time.Now()
	m.env.mu.Unlock()
	m.env.Network.Listen(m.id, m.addr, http.HandlerFunc(m.serveCommands))
	go m.sendHeartbeats()
	for {
		time.Sleep(m.env.Step)
		m.env.mu.Lock()
		if m.isOver() {
			m.env.mu.Unlock()
			return
		}
		m.expireLease() // a hanging machine's lease ends all the same
		if !m.hung {
			m.advanceTasks(m.env.Step.Seconds())
		}
		m.env.mu.Unlock()
	}
}

// isOver tells whether the machine was removed or the test has ended.
func (m *machineAgent) isOver() bool { return m.removed || m.env.life.Err() != nil }

// expire ends the session if its lease is over.
func (m *machineAgent) expireLease() {
	from := m.incarnationStart
	if m.leaseRenewed.After(from) {
		from = m.leaseRenewed
	}
	if time.Since(from).Seconds() > m.env.Cfg.Workers.LeaseS {
		if len(m.tasks) > 0 {
			m.env.LeaseExpiries++
		}
		m.tasks, m.incarnation, m.incarnationStart, m.statusChanged = nil, m.incarnation+1, time.Now(), true
		m.env.updateGangs()
	}
}

func (m *machineAgent) setToken(token protocol.FencingToken) {
	if token > m.token {
		m.token, m.statusChanged = token, true
	}
}

// Machines lists the machines that are up.
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

// MachinesOf lists the machines on which tasks of a job are, with or without image.
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

// Zone is a machine's zone.
func (e *Environment) Zone(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if machine := e.machines[id]; machine != nil {
		return machine.zone
	}
	return ""
}

func (m *machineAgent) markRemoved() { m.removed = true }

func (m *machineAgent) markStatusChanged() { m.statusChanged = true }
