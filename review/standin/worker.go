//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
)

// Times of a worker from its section of the protocol page.
const (
	reportTimeout  = 4 * time.Second
	nextNodePause  = time.Second
	changePause    = 500 * time.Millisecond
	workerStep     = 20 * time.Millisecond
	reportSpread   = 0.25
	roundingErrors = 1e-6
	failedAfter    = 30 * time.Second
)

// machineRunning is the phase of a machine that is up, in the cloud's list.
const machineRunning protocol.MachineState = "running"

// worker is a small stand-in of the worker on a machine, after its section of the protocol
// page. Gangs of several tasks and checkpoints are left out: no case has them. The world's
// mutex guards its state.
type worker struct {
	w         *world
	m         *machine
	addresses map[*node]string // its address as each controller reaches it

	up, gone     bool
	stoppedAt    time.Time // when the machine stopped; zero: it has not
	tenure, tick uint64
	baton        uint64
	leaseFrom    time.Time // when the last answered report was sent, or the session began
	changed      bool
	batonChange  time.Time // when a higher token last counted as a change
	tasks        []*task
	images       map[string]time.Time // when each image is or will be there
	at           int                  // index of the node that gets the reports
}

// task is an attempt of a task on a machine.
type task struct {
	job    *job
	name   string
	index  int
	try    uint64
	phase  protocol.TaskState
	cause  protocol.ExitReason
	endsAt time.Time // of a running task; zero: it runs until it is stopped
}

// newWorker returns the worker of a machine that is not up yet. It has one address for each
// controller, by which it tells who sent a command.
func newWorker(w *world, m *machine) *worker {
	k := &worker{w: w, m: m, addresses: map[*node]string{}, tenure: 1, images: map[string]time.Time{}, at: rand.IntN(nodeCount)}
	for _, n := range w.nodes {
		address, err := w.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { k.serveCommands(rw, r, n) }))
		if err != nil {
			panic(err)
		}
		k.addresses[n] = address
	}
	return k
}

func (k *worker) addressFor(n *node) string { return k.addresses[n] }

// phase returns the machine's phase in the cloud's list. A machine that has stopped is
// listed as running for a while.
func (k *worker) phase() protocol.MachineState {
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	switch {
	case !k.up:
		return protocol.MachineStarting
	case !k.stoppedAt.IsZero() && time.Since(k.stoppedAt) > failedAfter:
		return protocol.MachineFailed
	}
	return machineRunning
}

// begin starts the worker when its machine has booted.
func (k *worker) begin() {
	k.w.mu.Lock()
	if k.gone {
		k.w.mu.Unlock()
		return
	}
	k.up, k.leaseFrom = true, time.Now()
	k.w.workers[k.m.name] = k
	k.w.mu.Unlock()
	k.w.rec.add(k.m.name, "up (%s, zone %s)", k.m.kind.Name, k.m.zone)
	go k.advance()
	go k.report()
}

// remove ends the worker with all its tasks, because its machine is gone.
func (k *worker) remove() {
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	if k.gone {
		return
	}
	k.gone = true
	delete(k.w.workers, k.m.name)
	k.w.rec.add(k.m.name, "gone with %d tasks", len(k.onMachine()))
}

// stop stops the machine with all that is on it: its tasks are gone, and from now on it is
// silent.
func (k *worker) stop() {
	k.remove()
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	k.stoppedAt = time.Now()
}

// onMachine lists the tasks that are on the machine: those that have their image and have
// not ended.
func (k *worker) onMachine() (tasks []*task) {
	for _, t := range k.tasks {
		if t.phase != protocol.TaskExited && t.phase != protocol.TaskFetching {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// advance moves the tasks on and ends the session when the lease has run out.
func (k *worker) advance() {
	lease := time.Duration(k.w.set.workers.LeaseS * float64(time.Second))
	for {
		time.Sleep(workerStep)
		k.w.mu.Lock()
		if k.gone || k.w.ctx.Err() != nil {
			k.w.mu.Unlock()
			return
		}
		now := time.Now()
		if now.Sub(k.leaseFrom) > lease {
			k.w.rec.add(k.m.name, "lease over, %d tasks killed, session %d begins", len(k.onMachine()), k.tenure+1)
			k.tasks, k.tenure, k.leaseFrom, k.changed = nil, k.tenure+1, now, true
		}
		for _, t := range k.tasks {
			k.move(t, now)
		}
		k.w.mu.Unlock()
	}
}

// move moves one task on.
func (k *worker) move(t *task, now time.Time) {
	switch {
	case t.phase == protocol.TaskFetching && now.After(k.images[t.job.spec.Image]):
		k.changed = true
		if t.job.done[t.index] {
			t.phase, t.cause = protocol.TaskExited, protocol.ExitDone
			return
		}
		t.phase = protocol.TaskRunning
		t.job.starts[t.index]++
		k.w.rec.add(k.m.name, "runs %s try %d", t.name, t.try)
		if t.job.runS > 0 {
			t.endsAt = now.Add(time.Duration(t.job.runS * float64(time.Second)))
		}
	case t.phase == protocol.TaskRunning && !t.endsAt.IsZero() && now.After(t.endsAt):
		k.changed = true
		t.phase, t.cause = protocol.TaskExited, protocol.ExitDone
		if t.job.mistaken {
			t.cause = protocol.ExitError
		} else {
			t.job.done[t.index] = true
		}
		k.w.rec.add(k.m.name, "ended %s try %d: %s", t.name, t.try, t.cause)
	}
}

// status returns the next report.
func (k *worker) status(to *node) protocol.Heartbeat {
	k.tick++
	status := protocol.Heartbeat{Machine: k.m.name, Addr: k.addresses[to], MachineType: k.m.kind.Name, Zone: k.m.zone, Spot: k.m.spot,
		Incarnation: protocol.Incarnation(k.tenure), Sequence: k.tick, Token: protocol.FencingToken(k.baton), Tasks: []protocol.TaskStatus{}}
	for _, t := range k.tasks {
		status.Tasks = append(status.Tasks, protocol.TaskStatus{Task: t.name, Attempt: t.try, State: t.phase, ExitReason: t.cause})
	}
	return status
}

// report sends reports until the machine is gone.
func (k *worker) report() {
	client := &http.Client{Transport: &http.Transport{}}
	lastSent := time.Time{}
	interval := time.Duration(0)
	for {
		time.Sleep(workerStep)
		k.w.mu.Lock()
		if k.gone || k.w.ctx.Err() != nil {
			k.w.mu.Unlock()
			return
		}
		since := time.Since(lastSent)
		if since < interval && !(k.changed && since >= changePause) {
			k.w.mu.Unlock()
			continue
		}
		to := k.w.nodes[k.at]
		status := k.status(to)
		k.changed = false
		k.w.mu.Unlock()
		lastSent = time.Now()
		interval = time.Duration(k.w.set.workers.ReportS * (1 + reportSpread*(2*rand.Float64()-1)) * float64(time.Second))
		if !k.exchange(client, to, status, lastSent) {
			interval = 0 // the next node gets a report at once, after the pause that exchange made
		}
	}
}

// exchange sends a report and handles the answer. It reports whether the worker stays with
// the node.
func (k *worker) exchange(client *http.Client, to *node, status protocol.Heartbeat, sent time.Time) bool {
	ctx, cancel := context.WithTimeout(k.w.ctx, reportTimeout)
	defer cancel()
	code, body := post(ctx, client, "http://"+to.apiAddr+"/hello", status)
	if code == http.StatusOK {
		var answer protocol.HeartbeatReply
		if codec.Unmarshal(body, &answer) == nil {
			k.take(to, &answer, status.Incarnation, sent)
		}
		return true
	}
	var redirect protocol.Redirect
	if code == http.StatusMisdirectedRequest && codec.Unmarshal(body, &redirect) == nil {
		next := slices.IndexFunc(k.w.nodes, func(n *node) bool { return n.name == redirect.Leader })
		if next >= 0 && k.w.nodes[next] != to {
			k.at = next
			return false
		}
	}
	k.at = (k.at + 1) % nodeCount
	time.Sleep(nextNodePause)
	return false
}

// take handles the answer to a report.
func (k *worker) take(from *node, answer *protocol.HeartbeatReply, session protocol.Incarnation, sent time.Time) {
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	if uint64(answer.Token) < k.baton || uint64(session) != k.tenure || k.gone {
		return
	}
	k.leaseFrom = sent
	k.see(from, uint64(answer.Token))
	k.execute(answer.Commands)
}

// see stores an accepted token of a controller. A higher one counts as a change at most once
// in half of a lease.
func (k *worker) see(from *node, baton uint64) {
	k.w.highest[from] = max(k.w.highest[from], baton)
	if baton <= k.baton {
		return
	}
	k.baton = baton
	if time.Since(k.batonChange).Seconds() > k.w.set.workers.LeaseS/2 {
		k.batonChange, k.changed = time.Now(), true
	}
}

// serveCommands serves direct commands and questions of one controller.
func (k *worker) serveCommands(rw http.ResponseWriter, r *http.Request, from *node) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // no answer
	}
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	if !k.stoppedAt.IsZero() {
		k.w.mu.Unlock()
		<-r.Context().Done() // silent
		k.w.mu.Lock()
	}
	if !k.up || k.gone {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/status" {
		reply(rw, http.StatusOK, k.status(from))
		return
	}
	var request protocol.CommandRequest
	if codec.Unmarshal(body, &request) != nil || request.Token == 0 || request.Incarnation == 0 {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	if uint64(request.Token) < k.baton || uint64(request.Incarnation) != k.tenure {
		reply(rw, http.StatusConflict, k.status(from))
		return
	}
	k.see(from, uint64(request.Token))
	k.execute(request.Commands)
	reply(rw, http.StatusOK, k.status(from))
}

// execute executes commands in order.
func (k *worker) execute(commands []protocol.Command) {
	for _, command := range commands {
		at := slices.IndexFunc(k.tasks, func(t *task) bool { return t.name == command.Task && t.try == command.Attempt })
		switch {
		case command.Verb == protocol.VerbStart && at < 0:
			k.start(command.Task, command.Attempt)
		case command.Verb == protocol.VerbStop && at >= 0 && k.tasks[at].phase != protocol.TaskExited:
			k.tasks[at].phase, k.tasks[at].cause, k.changed = protocol.TaskExited, protocol.ExitStopped, true
			k.w.rec.add(k.m.name, "stopped %s try %d", command.Task, command.Attempt)
		case command.Verb == protocol.VerbRelease && at >= 0 && k.tasks[at].phase == protocol.TaskExited:
			k.tasks = slices.Delete(k.tasks, at, at+1)
			k.changed = true
		}
	}
}

// start begins an attempt: the image is fetched, or the start is refused.
func (k *worker) start(name string, try uint64) {
	t := &task{name: name, try: try, phase: protocol.TaskExited}
	jobID, index, _ := strings.Cut(name, "/")
	number, err := strconv.Atoi(index)
	t.job, t.index = k.w.jobs[protocol.JobID(jobID)], number
	switch {
	case err != nil || t.job == nil || number < 0 || number >= t.job.spec.Tasks:
		t.cause = protocol.ExitUnknownTask
	case slices.ContainsFunc(k.tasks, func(other *task) bool { return other.name == name && other.phase != protocol.TaskExited }):
		t.cause = protocol.ExitDuplicate
	case !k.hasRoom(&t.job.spec):
		t.cause = protocol.ExitNoCapacity
	default:
		t.phase = protocol.TaskFetching
		if _, known := k.images[t.job.spec.Image]; !known {
			k.images[t.job.spec.Image] = time.Now().Add(time.Duration(t.job.spec.ImageGB / k.m.kind.FetchGBps * float64(time.Second)))
		}
	}
	if t.phase == protocol.TaskExited {
		k.w.rec.add(k.m.name, "refused %s try %d: %s", name, try, t.cause)
	}
	k.tasks = append(k.tasks, t)
	k.changed = true
}

// hasRoom reports whether a task of the job fits beside those that have not ended.
func (k *worker) hasRoom(spec *protocol.Job) bool {
	free := k.m.kind
	for _, t := range k.tasks {
		if t.phase != protocol.TaskExited {
			free.Cores -= t.job.spec.Cores
			free.GPUs -= t.job.spec.GPUs
			free.MemGB -= t.job.spec.MemGB
		}
	}
	return spec.Cores <= free.Cores+roundingErrors && spec.GPUs <= free.GPUs+roundingErrors && spec.MemGB <= free.MemGB+roundingErrors
}

// allows reports whether the job may run on the machine.
func (k *worker) allows(spec *protocol.Job) bool {
	return (len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, k.m.kind.Name)) &&
		(spec.Zone == "" || spec.Zone == k.m.zone) && (spec.Spot || !k.m.spot)
}

// post sends a MessagePack body and returns the status and the body of the answer; the
// status is 0 without an answer.
func post(ctx context.Context, client *http.Client, url string, message any) (int, []byte) {
	encoded, err := codec.Marshal(message)
	if err != nil {
		panic(fmt.Sprint("a message without an encoding: ", err))
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return 0, nil
	}
	return send(client, request)
}

func send(client *http.Client, request *http.Request) (int, []byte) {
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}
