package fake

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"marblehaven/internal/protocol"
)

type agentTask struct {
	jobID        protocol.JobID
	index        int
	attempt      uint64
	state        protocol.TaskState
	exitReason   protocol.ExitReason
	checkpointed bool
	stateSince   time.Time // of state
	remainingS   float64   // seconds of work, while running
	// unrecorded: it was on a machine without being in a run record.
	unrecorded bool
}

func (t *agentTask) onMachine() bool {
	return t.state != protocol.TaskExited && t.state != protocol.TaskFetching
}

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

// machineFaults is what a test makes go wrong with a machine.
type machineFaults struct {
	hung            bool
	preemptionAt    time.Time
	nextCommandHang time.Duration // how long it hangs in the middle of the next command
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

func (m *machineAgent) markRemoved() { m.removed = true }

func (m *machineAgent) markStatusChanged() { m.statusChanged = true }

// isOver tells whether the machine was removed or the test has ended.
func (m *machineAgent) isOver() bool { return m.removed || m.env.life.Err() != nil }

// hungPollInterval is the time between two looks at whether a machine still hangs.
const hungPollInterval = 50 * time.Millisecond

// awaitNotHung releases the lock until the machine goes on or is removed.
func (m *machineAgent) awaitNotHung() {
	for m.hung && !m.removed {
		m.env.mu.Unlock()
		time.Sleep(hungPollInterval)
		m.env.mu.Lock()
	}
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

// step lets tasks go on.
func (m *machineAgent) advanceTasks(elapsedS float64) {
	for _, task := range m.tasks {
		job := m.env.jobs[task.jobID]
		age := time.Since(task.stateSince).Seconds()
		switch task.state {
		case protocol.TaskFetching:
			if m.imageCache[job.job.Image] || age >= job.job.ImageGB/m.machineType.FetchGBps {
				m.endFetching(task, job)
			}
		case protocol.TaskWaiting:
			if age > m.env.Cfg.Workers.GangWaitS {
				m.exit(task, "incomplete")
			}
		case protocol.TaskRunning:
			m.advanceRunning(task, job, elapsedS)
		case protocol.TaskSaving:
			if age >= job.job.CheckpointSaveS {
				task.checkpointed = true
				m.env.Saved++
				m.exit(task, protocol.ExitStopped)
			}
		}
	}
}

// endFetching starts a task whose image is there; one of a gang waits for the others.
func (m *machineAgent) endFetching(task *agentTask, job *userJob) {
	m.imageCache[job.job.Image] = true
	switch {
	case job.finished[task.index]:
		m.exit(task, protocol.ExitDone)
	case job.job.Kind == protocol.KindGang:
		m.setState(task, protocol.TaskWaiting)
	default:
		task.remainingS = job.runS * (1 + m.env.Uneven*float64(task.index))
		m.setState(task, protocol.TaskRunning)
	}
	m.env.checkStart(m, task)
	m.env.updateGangs()
}

// advanceRunning lets a running task work, and ends it when its work is done. A
// service never is.
func (m *machineAgent) advanceRunning(task *agentTask, job *userJob, elapsedS float64) {
	if job.job.Kind == protocol.KindService {
		return
	}
	task.remainingS -= elapsedS
	if task.remainingS > 0 {
		return
	}
	job.finished[task.index] = true
	m.exit(task, protocol.ExitDone)
	if m.env.OnDone != nil && len(job.finished) == job.job.Tasks {
		go m.env.OnDone(task.jobID)
	}
}

func (m *machineAgent) setState(task *agentTask, state protocol.TaskState) {
	task.state, task.stateSince, m.statusChanged = state, time.Now(), true
}

func (m *machineAgent) exit(task *agentTask, reason protocol.ExitReason) {
	task.exitReason = reason
	m.setState(task, protocol.TaskExited)
	if m.env.jobs[task.jobID].job.Kind == protocol.KindGang {
		m.env.updateGangs()
	}
}

func (m *machineAgent) setToken(token protocol.FencingToken) {
	if token > m.token {
		m.token, m.statusChanged = token, true
	}
}

func (m *machineAgent) findTask(jobID protocol.JobID, index int) *agentTask {
	for _, task := range m.tasks {
		if task.jobID == jobID && task.index == index {
			return task
		}
	}
	return nil
}
