//go:build review2

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
)

// resources is an amount of cores, cards and memory.
type resources struct{ cores, cards, memGB float64 }

// machine is a rented machine with its worker. The world's mutex guards it.
type machine struct {
	world     *world
	id        string
	addr      string
	typeName  string
	zone      string
	free      resources
	fetchGBps float64
	rentedAt  time.Time
	upAt      time.Time
	goneAt    time.Time
	isUp      bool
	gone      bool
	mute      bool       // its reports reach no controller
	boots     int        // how often it has restarted
	lastSent  sentReport // the latest report
	images    map[string]bool

	tenure       uint64
	tick         uint64
	baton        protocol.FencingToken
	batonChanged time.Time
	leaseFrom    time.Time // when the session began, or when the last answered report was sent
	tasks        []*task
	changed      bool
	reportsTo    int // index of the controller
	answeredFrom string
}

// task is one attempt of a task on a machine.
type task struct {
	job     *job
	number  int
	attempt uint64
	state   protocol.TaskState
	cause   protocol.ExitReason
	since   time.Time
	leftS   float64
}

func (t *task) name() string { return fmt.Sprintf("%s/%d", t.job.spec.ID, t.number) }

// onMachine reports whether the task counts as on its machine: from the time it has its image
// until it ends.
func (t *task) onMachine() bool {
	return t.state != protocol.TaskFetching && t.state != protocol.TaskExited
}

const stepInterval = 50 * time.Millisecond

// run boots the machine, then advances its tasks until the machine is gone.
func (m *machine) run() {
	time.Sleep(time.Duration(m.world.site.bootS * float64(time.Second)))
	addr, err := listen(http.HandlerFunc(m.serve))
	if err != nil {
		return
	}
	m.world.mu.Lock()
	m.upAt = time.Now()
	m.addr, m.isUp, m.tenure, m.leaseFrom, m.images = addr, true, 1, time.Now(), map[string]bool{}
	m.world.mu.Unlock()
	m.world.record.add("worker %s: up", m.id)
	go m.reportLoop()
	for last := time.Now(); ; {
		time.Sleep(stepInterval)
		m.world.mu.Lock()
		if m.gone {
			m.world.mu.Unlock()
			return
		}
		now := time.Now()
		m.checkLease(now)
		for _, t := range m.tasks {
			m.advance(t, now, now.Sub(last).Seconds())
		}
		last = now
		m.world.mu.Unlock()
	}
}

// checkOnce notes a task that starts on one machine while it is on another.
func (w *world) checkOnce(m *machine, started *task) {
	for _, other := range w.machines {
		for _, t := range other.tasks {
			if other != m && !other.gone && t.job == started.job && t.number == started.number && t.onMachine() {
				w.twice = append(w.twice, fmt.Sprintf("%s starts on %s with try %d while it is on %s with try %d", t.name(), m.id, started.attempt, other.id, t.attempt))
			}
		}
	}
}

// checkLease kills and forgets all tasks when the lease is over, and begins the next session.
func (m *machine) checkLease(now time.Time) {
	if now.Sub(m.leaseFrom).Seconds() <= m.world.site.leaseS {
		return
	}
	m.world.record.add("worker %s: lease of tenure %d over, %d tasks killed", m.id, m.tenure, len(m.tasks))
	for _, t := range m.tasks {
		m.release(t)
	}
	m.tasks, m.changed = nil, true
	m.tenure++
	m.leaseFrom = now
}

// restart restarts the machine: its worker counts from the beginning again and has no tasks.
func (m *machine) restart() {
	m.world.record.add("machine %s restarts, %d tasks are gone", m.id, len(m.tasks))
	for _, t := range m.tasks {
		m.release(t)
	}
	m.tasks, m.changed = nil, true
	m.tenure, m.tick, m.baton, m.batonChanged, m.leaseFrom = 1, 0, 0, time.Time{}, time.Now()
	m.boots++
}

// release gives back what a task that has not ended takes of the machine.
func (m *machine) release(t *task) {
	if t.state != protocol.TaskExited {
		m.free.cores += t.job.spec.Cores
		m.free.cards += t.job.spec.GPUs
		m.free.memGB += t.job.spec.MemGB
	}
}

func (m *machine) advance(t *task, now time.Time, elapsedS float64) {
	switch t.state {
	case protocol.TaskFetching:
		if !m.images[t.job.spec.Image] && now.Sub(t.since).Seconds() < t.job.spec.ImageGB/m.fetchGBps {
			return
		}
		m.images[t.job.spec.Image] = true
		if t.job.done[t.number] {
			m.end(t, protocol.ExitDone)
			return
		}
		t.state, t.since, m.changed = protocol.TaskRunning, now, true
		m.world.record.add("worker %s: task %s try %d runs", m.id, t.name(), t.attempt)
		m.world.checkOnce(m, t)
	case protocol.TaskRunning:
		if t.job.spec.Kind == protocol.KindService {
			return
		}
		if t.leftS -= elapsedS; t.leftS <= 0 {
			t.job.done[t.number] = true
			m.end(t, protocol.ExitDone)
		}
	}
}

// end ends a task with a cause.
func (m *machine) end(t *task, cause protocol.ExitReason) {
	m.release(t)
	t.state, t.cause, t.since, m.changed = protocol.TaskExited, cause, time.Now(), true
	m.world.record.add("worker %s: task %s try %d ended, %s", m.id, t.name(), t.attempt, cause)
}

// report returns the worker's next report.
func (m *machine) report() *protocol.Heartbeat {
	m.tick++
	report := &protocol.Heartbeat{Machine: m.id, Addr: m.addr, MachineType: m.typeName, Zone: m.zone,
		Incarnation: protocol.Incarnation(m.tenure), Sequence: m.tick, Token: m.baton, Tasks: []protocol.TaskStatus{}}
	for _, t := range m.tasks {
		report.Tasks = append(report.Tasks, protocol.TaskStatus{Task: t.name(), Attempt: t.attempt, State: t.state, ExitReason: t.cause})
	}
	return report
}

// serve answers direct commands.
func (m *machine) serve(response http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	var command protocol.CommandRequest
	malformed := codec.Unmarshal(body, &command) != nil || command.Incarnation == 0
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	if m.gone {
		panic(http.ErrAbortHandler) // the machine no longer exists
	}
	if request.URL.Path == "/status" {
		answer(response, http.StatusOK, m.report())
		return
	}
	if malformed {
		answer(response, http.StatusBadRequest, nil)
		return
	}
	if command.Token < m.baton || uint64(command.Incarnation) != m.tenure {
		answer(response, http.StatusConflict, m.report())
		return
	}
	m.see(command.Token)
	m.execute(command.Commands)
	answer(response, http.StatusOK, m.report())
}

// see stores a higher token.
func (m *machine) see(token protocol.FencingToken) {
	if token <= m.baton {
		return
	}
	if token.Term() != m.baton.Term() {
		m.world.record.add("worker %s: token of term %d", m.id, token.Term())
	}
	m.baton = token
	if time.Since(m.batonChanged).Seconds() >= m.world.site.leaseS/2 { // counts as a change no more often
		m.batonChanged, m.changed = time.Now(), true
	}
}

// execute carries out commands in order.
func (m *machine) execute(commands []protocol.Command) {
	for _, command := range commands {
		jobID, text, _ := strings.Cut(command.Task, "/")
		number, _ := strconv.Atoi(text)
		var known *task
		running := false
		for _, t := range m.tasks {
			if string(t.job.spec.ID) == jobID && t.number == number {
				running = running || t.state != protocol.TaskExited
				if t.attempt == command.Attempt {
					known = t
				}
			}
		}
		switch {
		case command.Verb == protocol.VerbStart && known == nil:
			m.startTask(jobID, number, command.Attempt, running)
		case command.Verb == protocol.VerbStop && known != nil && known.state != protocol.TaskExited:
			m.end(known, protocol.ExitStopped)
		case command.Verb == protocol.VerbRelease && known != nil && known.state == protocol.TaskExited:
			m.forget(known)
		}
	}
}

// startTask begins an attempt, or lists it as refused.
func (m *machine) startTask(jobID string, number int, attempt uint64, running bool) {
	j := m.world.jobs[jobID]
	m.changed = true
	if j == nil {
		return
	}
	t := &task{job: j, number: number, attempt: attempt, state: protocol.TaskExited, since: time.Now(), leftS: j.runS}
	need := j.spec
	switch {
	case running:
		t.cause = protocol.ExitDuplicate
	case need.Cores > m.free.cores+1e-9 || need.GPUs > m.free.cards+1e-9 || need.MemGB > m.free.memGB+1e-9:
		t.cause = protocol.ExitNoCapacity
	default:
		t.state = protocol.TaskFetching
		m.free.cores -= need.Cores
		m.free.cards -= need.GPUs
		m.free.memGB -= need.MemGB
	}
	m.tasks = append(m.tasks, t)
}

func (m *machine) forget(known *task) {
	for i, t := range m.tasks {
		if t == known {
			m.tasks = append(m.tasks[:i:i], m.tasks[i+1:]...)
			m.changed = true
			return
		}
	}
}

// reportLoop sends reports, one at a time, to one controller after another until one answers
// with 200, and then to that one.
func (m *machine) reportLoop() {
	var last time.Time
	interval := m.nextInterval()
	for {
		time.Sleep(stepInterval / 2)
		m.world.mu.Lock()
		if m.gone {
			m.world.mu.Unlock()
			return
		}
		due := time.Since(last) >= interval || (m.changed && time.Since(last) >= 500*time.Millisecond)
		if !due || m.mute {
			m.world.mu.Unlock()
			continue
		}
		m.changed = false
		sent := sentReport{report: m.report(), boots: m.boots, at: time.Now()}
		m.lastSent = sent
		target := m.world.controllers[m.reportsTo]
		m.world.mu.Unlock()
		last = sent.at
		interval = m.nextInterval()
		m.sendReport(target, sent)
	}
}

// nextInterval returns the pause to the next report: report_s, give or take a quarter.
func (m *machine) nextInterval() time.Duration {
	return time.Duration(m.world.site.reportS * (0.75 + rand.Float64()/2) * float64(time.Second))
}

// reportReply is a controller's answer to a report, with status 200 or 421.
type reportReply struct {
	Baton  protocol.FencingToken `msgpack:"baton"`
	Orders []protocol.Command    `msgpack:"orders"`
	Leader string                `msgpack:"steward"`
}

// sentReport is a report with the time at which it was sent and how often the machine had
// restarted by then.
type sentReport struct {
	report *protocol.Heartbeat
	boots  int
	at     time.Time
}

const reportTimeout = 4 * time.Second

// sendReport sends a report and does what the answer says. An answer to a report from before a
// restart is lost.
func (m *machine) sendReport(target *controller, sent sentReport) {
	var reply reportReply
	status := call(m.world.client, http.MethodPost, "http://"+target.api+"/hello", sent.report, &reply, reportTimeout)
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	if m.gone || sent.boots != m.boots {
		return
	}
	if status == http.StatusOK {
		if reply.Baton < m.baton || uint64(sent.report.Incarnation) != m.tenure {
			return
		}
		m.leaseFrom, m.answeredFrom = sent.at, target.name
		m.see(reply.Baton)
		m.execute(reply.Orders)
		return
	}
	if status == http.StatusMisdirectedRequest {
		for i, c := range m.world.controllers {
			if c.name == reply.Leader && c != target {
				m.reportsTo, m.changed = i, true
				return
			}
		}
	}
	m.world.mu.Unlock()
	m.nextTarget()
	m.world.mu.Lock()
}

// nextTarget turns to the next controller 1 s later.
func (m *machine) nextTarget() {
	time.Sleep(time.Second)
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.reportsTo = (m.reportsTo + 1) % len(m.world.controllers)
	m.changed = true
}
