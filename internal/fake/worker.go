package fake

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/httpclient"
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

type machineAgent struct {
	env              *Environment
	id               string
	addr             string
	machineType      protocol.MachineType
	zone             string
	spot             bool
	provisionedAt    time.Time
	up               bool
	removed          bool
	hung             bool
	preemptionAt     time.Time
	incarnation      protocol.Incarnation
	sequence         uint64
	token            protocol.FencingToken
	incarnationStart time.Time // of the session
	leaseRenewed     time.Time // when the last answered report was sent
	tasks            []*agentTask
	imageCache       map[string]bool
	statusChanged    bool
	nodeIndex        int
	nextCommandHang  time.Duration // how long it hangs in the middle of the next command
}

func (e *Environment) newMachine(typeName, zone string, spot bool) string {
	id := fmt.Sprintf("m-%06d", e.nextID)
	e.nextID++
	machine := &machineAgent{env: e, id: id, addr: id + ":9000", machineType: e.types[typeName], zone: zone, spot: spot, provisionedAt: time.Now(), imageCache: map[string]bool{}}
	e.machines[id] = machine
	go machine.run()
	return id
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

func (m *machineAgent) markRemoved()       { m.removed = true }
func (m *machineAgent) markStatusChanged() { m.statusChanged = true }

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
		if m.removed || m.env.life.Err() != nil {
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
		case protocol.TaskWaiting:
			if age > m.env.Cfg.Workers.GangWaitS {
				m.exit(task, "incomplete")
			}
		case protocol.TaskRunning:
			if job.job.Kind == protocol.KindService {
				continue
			}
			if task.remainingS -= elapsedS; task.remainingS <= 0 {
				job.finished[task.index] = true
				m.exit(task, protocol.ExitDone)
				if m.env.OnDone != nil && len(job.finished) == job.job.Tasks {
					go m.env.OnDone(task.jobID)
				}
			}
		case protocol.TaskSaving:
			if age >= job.job.CheckpointSaveS {
				task.checkpointed = true
				m.env.Saved++
				m.exit(task, protocol.ExitStopped)
			}
		}
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

// updateGangs starts gangs that are complete and ends running ones that lost
// a task. (A lost task is noticed at once here, which PROTOCOL allows.)
func (e *Environment) updateGangs() {
	type gang struct {
		jobID   protocol.JobID
		attempt uint64
	}
	waiting, running := map[gang][]*agentTask{}, map[gang][]*agentTask{}
	for _, machine := range e.machines {
		for _, task := range machine.tasks {
			id := gang{task.jobID, task.attempt}
			switch {
			case e.jobs[task.jobID].job.Kind != protocol.KindGang:
			case task.state == protocol.TaskWaiting:
				waiting[id] = append(waiting[id], task)
			case task.state == protocol.TaskRunning, task.state == protocol.TaskSaving, task.checkpointed:
				running[id] = append(running[id], task)
			}
		}
	}
	for id, tasks := range waiting {
		if job := e.jobs[id.jobID]; len(tasks) == job.job.Tasks {
			for _, task := range tasks {
				task.state, task.stateSince, task.remainingS = protocol.TaskRunning, time.Now(), job.runS
			}
		}
	}
	for id, tasks := range running {
		job := e.jobs[id.jobID]
		if len(tasks) == job.job.Tasks {
			continue
		}
		for _, task := range tasks {
			if task.state != protocol.TaskRunning {
				continue
			}
			task.state, task.stateSince, task.exitReason = protocol.TaskExited, time.Now(), "peers"
			if len(job.finished) > 0 { // they complete together
				job.finished[task.index], task.exitReason = true, protocol.ExitDone
			}
		}
	}
}

func (m *machineAgent) heartbeat() protocol.Heartbeat {
	m.sequence++
	heartbeat := protocol.Heartbeat{Machine: m.id, Addr: m.addr, MachineType: m.machineType.Name, Zone: m.zone, Spot: m.spot, Incarnation: m.incarnation,
		Sequence: m.sequence, Token: m.token, Tasks: []protocol.TaskStatus{}}
	if !m.preemptionAt.IsZero() {
		remainingS := time.Until(m.preemptionAt).Seconds()
		heartbeat.PreemptionNoticeS = &remainingS
	}
	for _, task := range m.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: fmt.Sprintf("%s/%d", task.jobID, task.index), Attempt: task.attempt,
			State: task.state, ExitReason: task.exitReason, Checkpointed: task.checkpointed})
	}
	return heartbeat
}

// sendHeartbeats is the loop of reports.
func (m *machineAgent) sendHeartbeats() {
	hc := &http.Client{Transport: m.env.Network.From(m.env.life, m.id)}
	lastSent := time.Now().Add(-time.Hour)
	for {
		time.Sleep(2 * m.env.Step)
		m.env.mu.Lock()
		if m.removed || m.env.life.Err() != nil {
			m.env.mu.Unlock()
			return
		}
		due := time.Since(lastSent).Seconds() >= m.env.Cfg.Workers.ReportS || (m.statusChanged && time.Since(lastSent) >= 500*time.Millisecond)
		if m.hung || !due || len(m.env.Nodes) == 0 {
			m.env.mu.Unlock()
			continue
		}
		m.statusChanged = false
		msg := m.heartbeat()
		addr := m.env.Nodes[m.nodeIndex%len(m.env.Nodes)]
		m.env.mu.Unlock()
		lastSent = time.Now()
		ctx, cancel := context.WithTimeout(m.env.life, 4*time.Second)
		var reply protocol.HeartbeatReply
		var redirect protocol.Redirect
		status, err := httpclient.Call(ctx, hc, http.MethodPost, "http://"+addr+"/hello", msg, map[int]any{200: &reply, 421: &redirect})
		cancel()
		m.env.mu.Lock()
		for m.hung && !m.removed { // it takes the answer when it goes on
			m.env.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			m.env.mu.Lock()
		}
		if time.Since(lastSent) > 4*time.Second {
			status = 0
		}
		if status == 200 && err == nil {
			if reply.Token >= m.token && msg.Incarnation == m.incarnation && !m.removed {
				m.leaseRenewed = lastSent
				m.setToken(reply.Token)
				m.executeCommands(reply.Commands)
			}
			m.env.mu.Unlock()
			continue
		}
		leaderIndex := -1
		for i, candidate := range m.env.Nodes {
			if redirect.Leader != "" && m.env.nodeAddrs[redirect.Leader] == candidate && candidate != addr {
				leaderIndex = i
			}
		}
		m.env.mu.Unlock()
		if leaderIndex >= 0 {
			m.nodeIndex = leaderIndex
		} else {
			m.nodeIndex++
			time.Sleep(time.Second)
		}
		lastSent = time.Now().Add(-time.Hour)
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

func (m *machineAgent) executeCommands(commands []protocol.Command) {
	for _, command := range commands {
		jobID, index := parseTaskName(command.Task)
		var addressed *agentTask
		for _, task := range m.tasks {
			if task.jobID == jobID && task.index == index && task.attempt == command.Attempt {
				addressed = task
			}
		}
		switch command.Verb {
		case protocol.VerbStart:
			if addressed == nil {
				m.startTask(jobID, index, command.Attempt)
			}
		case protocol.VerbStop:
			if addressed == nil || addressed.state == protocol.TaskExited {
				continue
			}
			job := m.env.jobs[jobID]
			savesCheckpoint := addressed.state == protocol.TaskRunning && job.job.CheckpointIntervalS > 0 && command.GracePeriodS >= job.job.CheckpointSaveS
			switch {
			case savesCheckpoint:
				m.setState(addressed, protocol.TaskSaving)
			case addressed.state != protocol.TaskSaving || command.GracePeriodS == 0:
				m.exit(addressed, protocol.ExitStopped)
			}
		case protocol.VerbRelease:
			for i, task := range m.tasks {
				if task == addressed && task.state == protocol.TaskExited {
					m.tasks = append(m.tasks[:i:i], m.tasks[i+1:]...)
					m.statusChanged = true
					break
				}
			}
		}
	}
}

func (m *machineAgent) startTask(jobID protocol.JobID, index int, attempt uint64) {
	task := &agentTask{jobID: jobID, index: index, attempt: attempt, state: protocol.TaskExited, stateSince: time.Now()}
	m.statusChanged = true
	job := m.env.jobs[jobID]
	if job == nil {
		task.exitReason = protocol.ExitUnknownTask
		m.tasks = append(m.tasks, task)
		return
	}
	cores, gpus, mem := m.machineType.Cores, m.machineType.GPUs, m.machineType.MemGB
	for _, running := range m.tasks {
		if running.state != protocol.TaskExited {
			spec := &m.env.jobs[running.jobID].job
			cores, gpus, mem = cores-spec.Cores, gpus-spec.GPUs, mem-spec.MemGB
		}
	}
	existing := m.findTask(jobID, index)
	switch {
	case existing != nil && existing.state != protocol.TaskExited:
		task.exitReason = protocol.ExitDuplicate
	case job.job.Cores > cores+1e-6 || job.job.GPUs > gpus+1e-6 || job.job.MemGB > mem+1e-6:
		task.exitReason = protocol.ExitNoCapacity
	default:
		task.state = protocol.TaskFetching
	}
	m.tasks = append(m.tasks, task)
}

// serve answers direct commands. A hanging machine answers when it goes on.
func (m *machineAgent) serveCommands(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	m.env.mu.Lock()
	defer m.env.mu.Unlock()
	for m.hung && !m.removed {
		m.env.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		m.env.mu.Lock()
	}
	if m.removed {
		writeReply(w, 502, nil)
		return
	}
	if r.URL.Path == "/status" {
		writeReply(w, 200, m.heartbeat())
		return
	}
	var req protocol.CommandRequest
	if codec.Unmarshal(body, &req) != nil {
		writeReply(w, 400, nil)
		return
	}
	if req.Token < m.token || req.Incarnation != m.incarnation {
		writeReply(w, 409, m.heartbeat())
		return
	}
	m.setToken(req.Token)
	m.executeCommands(req.Commands)
	if hang := m.nextCommandHang; hang > 0 && len(req.Commands) > 0 {
		m.nextCommandHang, m.hung = 0, true
		m.env.mu.Unlock()
		time.Sleep(hang)
		m.env.mu.Lock()
		m.hung = false
	}
	writeReply(w, 200, m.heartbeat())
}
