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
	since        time.Time // of state
	left         float64   // seconds of work, while running
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
	rented           time.Time
	up               bool
	removed          bool
	hung             bool
	notice           time.Time
	incarnation      protocol.Incarnation
	sequence         uint64
	token            protocol.FencingToken
	incarnationStart time.Time // of the session
	leaseRenewed     time.Time // when the last answered report was sent
	tasks            []*agentTask
	images           map[string]bool
	changed          bool
	node             int
	hangs            time.Duration // it hangs so long in the middle of the next command
}

func (w *Environment) newMachine(typ, zone string, spot bool) string {
	id := fmt.Sprintf("m-%06d", w.nextID)
	w.nextID++
	machine := &machineAgent{env: w, id: id, addr: id + ":9000", machineType: w.types[typ], zone: zone, spot: spot, rented: time.Now(), images: map[string]bool{}}
	w.machines[id] = machine
	go machine.run()
	return id
}

// Reboot ends all that a machine knows and runs, its counters and its token with
// it; it is back after the given time.
func (w *Environment) Reboot(id string, after time.Duration) {
	w.mu.Lock()
	machine := w.machines[id]
	machine.tasks, machine.images, machine.hung = nil, map[string]bool{}, true
	machine.incarnation, machine.sequence, machine.token = 1, 0, 0
	w.gangsChanged()
	w.mu.Unlock()
	go func() {
		time.Sleep(after)
		w.mu.Lock()
		defer w.mu.Unlock()
		machine.incarnation, machine.sequence, machine.token, machine.incarnationStart, machine.leaseRenewed = 1, 0, 0, time.Now(), time.Time{}
		machine.hung, machine.changed = false, true
	}()
}

// Hang stops a machine from doing anything until the returned function is
// called.
func (w *Environment) Hang(id string) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	machine := w.machines[id]
	machine.hung = true
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		machine.hung = false
	}
}

// HangInCommand makes a machine hang between carrying out the next direct command
// and answering it.
func (w *Environment) HangInCommand(id string, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if machine := w.machines[id]; machine != nil {
		machine.hangs = length
	}
}

func (m *machineAgent) end()        { m.removed = true }
func (m *machineAgent) changedNow() { m.changed = true }

func (m *machineAgent) run() {
	time.Sleep(time.Duration(m.machineType.BootS * float64(time.Second)))
	m.env.mu.Lock()
	if m.removed {
		m.env.mu.Unlock()
		return
	}
	m.up, m.incarnation, m.incarnationStart = true, 1, time.Now()
	m.env.mu.Unlock()
	m.env.Network.Listen(m.id, m.addr, http.HandlerFunc(m.serve))
	go m.sendHeartbeats()
	for {
		time.Sleep(m.env.Step)
		m.env.mu.Lock()
		if m.removed || m.env.life.Err() != nil {
			m.env.mu.Unlock()
			return
		}
		m.expire() // a hanging machine's lease ends all the same
		if !m.hung {
			m.step(m.env.Step.Seconds())
		}
		m.env.mu.Unlock()
	}
}

// expire ends the session if its lease is over.
func (m *machineAgent) expire() {
	from := m.incarnationStart
	if m.leaseRenewed.After(from) {
		from = m.leaseRenewed
	}
	if time.Since(from).Seconds() > m.env.Cfg.Workers.LeaseS {
		if len(m.tasks) > 0 {
			m.env.LeaseExpiries++
		}
		m.tasks, m.incarnation, m.incarnationStart, m.changed = nil, m.incarnation+1, time.Now(), true
		m.env.gangsChanged()
	}
}

// step lets tasks go on.
func (m *machineAgent) step(dt float64) {
	for _, task := range m.tasks {
		job := m.env.jobs[task.jobID]
		age := time.Since(task.since).Seconds()
		switch task.state {
		case protocol.TaskFetching:
			if m.images[job.job.Image] || age >= job.job.ImageGB/m.machineType.FetchGBps {
				m.images[job.job.Image] = true
				switch {
				case job.finished[task.index]:
					m.exit(task, protocol.ExitDone)
				case job.job.Kind == protocol.KindGang:
					m.enter(task, protocol.TaskWaiting)
				default:
					task.left = job.runS * (1 + m.env.Uneven*float64(task.index))
					m.enter(task, protocol.TaskRunning)
				}
				m.env.checkStart(m, task)
				m.env.gangsChanged()
			}
		case protocol.TaskWaiting:
			if age > m.env.Cfg.Workers.GangWaitS {
				m.exit(task, "incomplete")
			}
		case protocol.TaskRunning:
			if job.job.Kind == protocol.KindService {
				continue
			}
			if task.left -= dt; task.left <= 0 {
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

func (m *machineAgent) enter(task *agentTask, state protocol.TaskState) {
	task.state, task.since, m.changed = state, time.Now(), true
}

func (m *machineAgent) exit(task *agentTask, reason protocol.ExitReason) {
	task.exitReason = reason
	m.enter(task, protocol.TaskExited)
	if m.env.jobs[task.jobID].job.Kind == protocol.KindGang {
		m.env.gangsChanged()
	}
}

// gangsChanged starts gangs that are complete and ends running ones that lost
// a task. (A lost task is noticed at once here, which PROTOCOL allows.)
func (w *Environment) gangsChanged() {
	type gang struct {
		jobID   protocol.JobID
		attempt uint64
	}
	waiting, running := map[gang][]*agentTask{}, map[gang][]*agentTask{}
	for _, machine := range w.machines {
		for _, task := range machine.tasks {
			g := gang{task.jobID, task.attempt}
			switch {
			case w.jobs[task.jobID].job.Kind != protocol.KindGang:
			case task.state == protocol.TaskWaiting:
				waiting[g] = append(waiting[g], task)
			case task.state == protocol.TaskRunning, task.state == protocol.TaskSaving, task.checkpointed:
				running[g] = append(running[g], task)
			}
		}
	}
	for g, ts := range waiting {
		if job := w.jobs[g.jobID]; len(ts) == job.job.Tasks {
			for _, task := range ts {
				task.state, task.since, task.left = protocol.TaskRunning, time.Now(), job.runS
			}
		}
	}
	for g, ts := range running {
		job := w.jobs[g.jobID]
		if len(ts) == job.job.Tasks {
			continue
		}
		for _, task := range ts {
			if task.state != protocol.TaskRunning {
				continue
			}
			task.state, task.since, task.exitReason = protocol.TaskExited, time.Now(), "peers"
			if len(job.finished) > 0 { // they complete together
				job.finished[task.index], task.exitReason = true, protocol.ExitDone
			}
		}
	}
}

func (m *machineAgent) heartbeat() protocol.Heartbeat {
	m.sequence++
	r := protocol.Heartbeat{Machine: m.id, Addr: m.addr, MachineType: m.machineType.Name, Zone: m.zone, Spot: m.spot, Incarnation: m.incarnation,
		Sequence: m.sequence, Token: m.token, Tasks: []protocol.TaskStatus{}}
	if !m.notice.IsZero() {
		left := time.Until(m.notice).Seconds()
		r.PreemptionNoticeS = &left
	}
	for _, task := range m.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: fmt.Sprintf("%s/%d", task.jobID, task.index), Attempt: task.attempt,
			State: task.state, ExitReason: task.exitReason, Checkpointed: task.checkpointed})
	}
	return r
}

// sendHeartbeats is the loop of reports.
func (m *machineAgent) sendHeartbeats() {
	client := httpclient.Client{HTTP: &http.Client{Transport: m.env.Network.From(m.env.life, m.id)}}
	last := time.Now().Add(-time.Hour)
	for {
		time.Sleep(2 * m.env.Step)
		m.env.mu.Lock()
		if m.removed || m.env.life.Err() != nil {
			m.env.mu.Unlock()
			return
		}
		due := time.Since(last).Seconds() >= m.env.Cfg.Workers.ReportS || (m.changed && time.Since(last) >= 500*time.Millisecond)
		if m.hung || !due || len(m.env.Nodes) == 0 {
			m.env.mu.Unlock()
			continue
		}
		m.changed = false
		msg := m.heartbeat()
		addr := m.env.Nodes[m.node%len(m.env.Nodes)]
		m.env.mu.Unlock()
		last = time.Now()
		ctx, cancel := context.WithTimeout(m.env.life, 4*time.Second)
		var ans protocol.HeartbeatReply
		var redirect protocol.Redirect
		status := answeredStatus(client.Do(ctx, httpclient.Request{Method: http.MethodPost, URL: "http://" + addr + "/hello", Body: msg,
			Responses: map[int]any{200: &ans, 421: &redirect}}))
		cancel()
		m.env.mu.Lock()
		for m.hung && !m.removed { // it takes the answer when it goes on
			m.env.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			m.env.mu.Lock()
		}
		if time.Since(last) > 4*time.Second {
			status = 0
		}
		if status == 200 {
			if ans.Token >= m.token && msg.Incarnation == m.incarnation && !m.removed {
				m.leaseRenewed = last
				m.setToken(ans.Token)
				m.execute(ans.Commands)
			}
			m.env.mu.Unlock()
			continue
		}
		to := -1
		for i, a := range m.env.Nodes {
			if redirect.Leader != "" && m.env.addrNode[redirect.Leader] == a && a != addr {
				to = i
			}
		}
		m.env.mu.Unlock()
		if to >= 0 {
			m.node = to
		} else {
			m.node++
			time.Sleep(time.Second)
		}
		last = time.Now().Add(-time.Hour)
	}
}

func (m *machineAgent) setToken(t protocol.FencingToken) {
	if t > m.token {
		m.token, m.changed = t, true
	}
}

func (m *machineAgent) find(jobID protocol.JobID, num int) *agentTask {
	for _, task := range m.tasks {
		if task.jobID == jobID && task.index == num {
			return task
		}
	}
	return nil
}

func (m *machineAgent) execute(orders []protocol.Command) {
	for _, o := range orders {
		jobID, num := parseTask(o.Task)
		var same *agentTask
		for _, task := range m.tasks {
			if task.jobID == jobID && task.index == num && task.attempt == o.Attempt {
				same = task
			}
		}
		switch o.Verb {
		case protocol.VerbStart:
			if same == nil {
				m.start(jobID, num, o.Attempt)
			}
		case protocol.VerbStop:
			if same == nil || same.state == protocol.TaskExited {
				continue
			}
			job := m.env.jobs[jobID]
			saves := same.state == protocol.TaskRunning && job.job.CheckpointIntervalS > 0 && o.GracePeriodS >= job.job.CheckpointSaveS
			switch {
			case saves:
				m.enter(same, protocol.TaskSaving)
			case same.state != protocol.TaskSaving || o.GracePeriodS == 0:
				m.exit(same, protocol.ExitStopped)
			}
		case protocol.VerbRelease:
			for i, task := range m.tasks {
				if task == same && task.state == protocol.TaskExited {
					m.tasks = append(m.tasks[:i:i], m.tasks[i+1:]...)
					m.changed = true
					break
				}
			}
		}
	}
}

func (m *machineAgent) start(jobID protocol.JobID, num int, attempt uint64) {
	task := &agentTask{jobID: jobID, index: num, attempt: attempt, state: protocol.TaskExited, since: time.Now()}
	m.changed = true
	job := m.env.jobs[jobID]
	if job == nil {
		task.exitReason = protocol.ExitUnknownTask
		m.tasks = append(m.tasks, task)
		return
	}
	cores, gpus, mem := m.machineType.Cores, m.machineType.GPUs, m.machineType.MemGB
	for _, o := range m.tasks {
		if o.state != protocol.TaskExited {
			spec := &m.env.jobs[o.jobID].job
			cores, gpus, mem = cores-spec.Cores, gpus-spec.GPUs, mem-spec.MemGB
		}
	}
	other := m.find(jobID, num)
	switch {
	case other != nil && other.state != protocol.TaskExited:
		task.exitReason = protocol.ExitDuplicate
	case job.job.Cores > cores+1e-6 || job.job.GPUs > gpus+1e-6 || job.job.MemGB > mem+1e-6:
		task.exitReason = protocol.ExitNoCapacity
	default:
		task.state = protocol.TaskFetching
	}
	m.tasks = append(m.tasks, task)
}

// serve answers direct commands. A hanging machine answers when it goes on.
func (m *machineAgent) serve(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	m.env.mu.Lock()
	defer m.env.mu.Unlock()
	for m.hung && !m.removed {
		m.env.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		m.env.mu.Lock()
	}
	if m.removed {
		answer(rw, 502, nil)
		return
	}
	if r.URL.Path == "/status" {
		answer(rw, 200, m.heartbeat())
		return
	}
	var req protocol.CommandRequest
	if codec.Unmarshal(body, &req) != nil {
		answer(rw, 400, nil)
		return
	}
	if req.Token < m.token || req.Incarnation != m.incarnation {
		answer(rw, 409, m.heartbeat())
		return
	}
	m.setToken(req.Token)
	m.execute(req.Commands)
	if d := m.hangs; d > 0 && len(req.Commands) > 0 {
		m.hangs, m.hung = 0, true
		m.env.mu.Unlock()
		time.Sleep(d)
		m.env.mu.Lock()
		m.hung = false
	}
	answer(rw, 200, m.heartbeat())
}
