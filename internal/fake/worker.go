package fake

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"marblehaven/internal/protocol"
)

type task struct {
	jobID        string
	index        int
	attempt      uint64
	state        string
	exitReason   string
	checkpointed bool
	since        time.Time // of state
	left         float64   // seconds of work, while running
	// unrecorded: it was on a machine without being in a run record.
	unrecorded bool
}

func (t *task) onMachine() bool {
	return t.state != protocol.TaskExited && t.state != protocol.TaskFetching
}

type machine struct {
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
	incarnation      uint64
	sequence         uint64
	token            uint64
	incarnationStart time.Time // of the session
	leaseRenewed     time.Time // when the last answered report was sent
	tasks            []*task
	images           map[string]bool
	changed          bool
	node             int
	hangs            time.Duration // it hangs so long in the middle of the next command
}

func (w *Environment) newMachine(typ, zone string, spot bool) string {
	id := fmt.Sprintf("m-%06d", w.nextID)
	w.nextID++
	m := &machine{env: w, id: id, addr: id + ":9000", machineType: w.types[typ], zone: zone, spot: spot, rented: time.Now(), images: map[string]bool{}}
	w.machines[id] = m
	go m.run()
	return id
}

// Reboot ends all that a machine knows and runs, its counters and its token with
// it; it is back after the given time.
func (w *Environment) Reboot(id string, after time.Duration) {
	w.mu.Lock()
	m := w.machines[id]
	m.tasks, m.images, m.hung = nil, map[string]bool{}, true
	m.incarnation, m.sequence, m.token = 1, 0, 0
	w.gangsChanged()
	w.mu.Unlock()
	go func() {
		time.Sleep(after)
		w.mu.Lock()
		defer w.mu.Unlock()
		m.incarnation, m.sequence, m.token, m.incarnationStart, m.leaseRenewed = 1, 0, 0, time.Now(), time.Time{}
		m.hung, m.changed = false, true
	}()
}

// Hang stops a machine from doing anything until the returned function is
// called.
func (w *Environment) Hang(id string) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[id]
	m.hung = true
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		m.hung = false
	}
}

// HangInCommand makes a machine hang between carrying out the next direct command
// and answering it.
func (w *Environment) HangInCommand(id string, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.machines[id]; m != nil {
		m.hangs = length
	}
}

func (m *machine) end()        { m.removed = true }
func (m *machine) changedNow() { m.changed = true }

func (m *machine) run() {
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
func (m *machine) expire() {
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
func (m *machine) step(dt float64) {
	for _, t := range m.tasks {
		u := m.env.jobs[t.jobID]
		age := time.Since(t.since).Seconds()
		switch t.state {
		case protocol.TaskFetching:
			if m.images[u.job.Image] || age >= u.job.ImageGB/m.machineType.FetchGBps {
				m.images[u.job.Image] = true
				switch {
				case u.finished[t.index]:
					m.exit(t, protocol.ExitDone)
				case u.job.Kind == protocol.KindGang:
					m.enter(t, protocol.TaskWaiting)
				default:
					t.left = u.runS * (1 + m.env.Uneven*float64(t.index))
					m.enter(t, protocol.TaskRunning)
				}
				m.env.checkStart(m, t)
				m.env.gangsChanged()
			}
		case protocol.TaskWaiting:
			if age > m.env.Cfg.Workers.GangWaitS {
				m.exit(t, "incomplete")
			}
		case protocol.TaskRunning:
			if u.job.Kind == protocol.KindService {
				continue
			}
			if t.left -= dt; t.left <= 0 {
				u.finished[t.index] = true
				m.exit(t, protocol.ExitDone)
				if m.env.OnDone != nil && len(u.finished) == u.job.Tasks {
					go m.env.OnDone(t.jobID)
				}
			}
		case protocol.TaskSaving:
			if age >= u.job.CheckpointSaveS {
				t.checkpointed = true
				m.env.Saved++
				m.exit(t, protocol.ExitStopped)
			}
		}
	}
}

func (m *machine) enter(t *task, state string) { t.state, t.since, m.changed = state, time.Now(), true }

func (m *machine) exit(t *task, cause string) {
	t.exitReason = cause
	m.enter(t, protocol.TaskExited)
	if m.env.jobs[t.jobID].job.Kind == protocol.KindGang {
		m.env.gangsChanged()
	}
}

// gangsChanged starts gangs that are complete and ends running ones that lost
// a task. (A lost task is noticed at once here, which PROTOCOL allows.)
func (w *Environment) gangsChanged() {
	type gang struct {
		ref     string
		attempt uint64
	}
	waiting, running := map[gang][]*task{}, map[gang][]*task{}
	for _, m := range w.machines {
		for _, t := range m.tasks {
			g := gang{t.jobID, t.attempt}
			switch {
			case w.jobs[t.jobID].job.Kind != protocol.KindGang:
			case t.state == protocol.TaskWaiting:
				waiting[g] = append(waiting[g], t)
			case t.state == protocol.TaskRunning, t.state == protocol.TaskSaving, t.checkpointed:
				running[g] = append(running[g], t)
			}
		}
	}
	for g, ts := range waiting {
		if u := w.jobs[g.ref]; len(ts) == u.job.Tasks {
			for _, t := range ts {
				t.state, t.since, t.left = protocol.TaskRunning, time.Now(), u.runS
			}
		}
	}
	for g, ts := range running {
		u := w.jobs[g.ref]
		if len(ts) == u.job.Tasks {
			continue
		}
		for _, t := range ts {
			if t.state != protocol.TaskRunning {
				continue
			}
			t.state, t.since, t.exitReason = protocol.TaskExited, time.Now(), "peers"
			if len(u.finished) > 0 { // they complete together
				u.finished[t.index], t.exitReason = true, protocol.ExitDone
			}
		}
	}
}

func (m *machine) heartbeat() protocol.Heartbeat {
	m.sequence++
	r := protocol.Heartbeat{Machine: m.id, Addr: m.addr, MachineType: m.machineType.Name, Zone: m.zone, Spot: m.spot, Incarnation: m.incarnation,
		Sequence: m.sequence, Token: m.token, Tasks: []protocol.TaskStatus{}}
	if !m.notice.IsZero() {
		left := time.Until(m.notice).Seconds()
		r.PreemptionNoticeS = &left
	}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: fmt.Sprintf("%s/%d", t.jobID, t.index), Attempt: t.attempt,
			State: t.state, ExitReason: t.exitReason, Checkpointed: t.checkpointed})
	}
	return r
}

// sendHeartbeats is the loop of reports.
func (m *machine) sendHeartbeats() {
	hc := &http.Client{Transport: m.env.Network.From(m.env.life, m.id)}
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
		status, err := protocol.Call(ctx, hc, http.MethodPost, "http://"+addr+"/hello", msg, map[int]any{200: &ans, 421: &redirect})
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
		if status == 200 && err == nil {
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

func (m *machine) setToken(t uint64) {
	if t > m.token {
		m.token, m.changed = t, true
	}
}

func (m *machine) find(ref string, num int) *task {
	for _, t := range m.tasks {
		if t.jobID == ref && t.index == num {
			return t
		}
	}
	return nil
}

func (m *machine) execute(orders []protocol.Command) {
	for _, o := range orders {
		ref, num := parseTask(o.Task)
		var same *task
		for _, t := range m.tasks {
			if t.jobID == ref && t.index == num && t.attempt == o.Attempt {
				same = t
			}
		}
		switch o.Verb {
		case protocol.VerbStart:
			if same == nil {
				m.start(ref, num, o.Attempt)
			}
		case protocol.VerbStop:
			if same == nil || same.state == protocol.TaskExited {
				continue
			}
			u := m.env.jobs[ref]
			saves := same.state == protocol.TaskRunning && u.job.CheckpointIntervalS > 0 && o.GracePeriodS >= u.job.CheckpointSaveS
			switch {
			case saves:
				m.enter(same, protocol.TaskSaving)
			case same.state != protocol.TaskSaving || o.GracePeriodS == 0:
				m.exit(same, protocol.ExitStopped)
			}
		case protocol.VerbRelease:
			for i, t := range m.tasks {
				if t == same && t.state == protocol.TaskExited {
					m.tasks = append(m.tasks[:i:i], m.tasks[i+1:]...)
					m.changed = true
					break
				}
			}
		}
	}
}

func (m *machine) start(ref string, num int, attempt uint64) {
	t := &task{jobID: ref, index: num, attempt: attempt, state: protocol.TaskExited, since: time.Now()}
	m.changed = true
	u := m.env.jobs[ref]
	if u == nil {
		t.exitReason = protocol.ExitUnknownTask
		m.tasks = append(m.tasks, t)
		return
	}
	cores, gpus, mem := m.machineType.Cores, m.machineType.GPUs, m.machineType.MemGB
	for _, o := range m.tasks {
		if o.state != protocol.TaskExited {
			d := &m.env.jobs[o.jobID].job
			cores, gpus, mem = cores-d.Cores, gpus-d.GPUs, mem-d.MemGB
		}
	}
	other := m.find(ref, num)
	switch {
	case other != nil && other.state != protocol.TaskExited:
		t.exitReason = protocol.ExitDuplicate
	case u.job.Cores > cores+1e-6 || u.job.GPUs > gpus+1e-6 || u.job.MemGB > mem+1e-6:
		t.exitReason = protocol.ExitNoCapacity
	default:
		t.state = protocol.TaskFetching
	}
	m.tasks = append(m.tasks, t)
}

// serve answers direct commands. A hanging machine answers when it goes on.
func (m *machine) serve(rw http.ResponseWriter, r *http.Request) {
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
	if protocol.Unmarshal(body, &req) != nil {
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
