package fake

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
)

// serveCommands answers a controller's direct commands and status queries. A hung machine
// answers once it no longer hangs.
func (m *machineAgent) serveCommands(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	m.env.mu.Lock()
	defer m.env.mu.Unlock()
	m.env.checkCommandRate(m, sentAt(r))
	m.awaitNotHung()
	boots := m.boots
	var status int
	switch {
	case m.removed || m.lostInReboot(sentAt(r)):
		status = http.StatusBadGateway
	case r.URL.Path == "/status":
		status = http.StatusOK
	default:
		status = m.handleCommands(body)
	}
	switch {
	case status == http.StatusBadGateway || m.boots != boots:
		writeReply(w, http.StatusBadGateway, nil)
	case status == http.StatusBadRequest:
		writeReply(w, status, nil)
	default:
		writeReply(w, status, m.heartbeat())
	}
}

// lostInReboot reports whether a request that was sent at the given time gets no answer because
// the machine has rebooted since and no heartbeat of the rebooted agent has been answered. Until
// then nothing can make the agent refuse an old start, and the service takes such starts not to
// come (docs/questions.md, 10).
func (m *machineAgent) lostInReboot(sent time.Time) bool {
	return !m.answered && sent.Before(m.bootedAt)
}

// handleCommands carries out a request's commands and returns the status of the answer. Commands
// with an old fencing token or for another incarnation are refused, so that a deposed leader can
// neither start nor stop tasks.
func (m *machineAgent) handleCommands(body []byte) int {
	var request protocol.CommandRequest
	if codec.Unmarshal(body, &request) != nil {
		return http.StatusBadRequest
	}
	if request.Token < m.token || request.Incarnation != m.incarnation {
		return http.StatusConflict
	}
	m.setToken(request.Token)
	m.executeCommands(request.Commands)
	if m.nextCommandHang > 0 && len(request.Commands) > 0 {
		m.hangBeforeAnswer()
	}
	return http.StatusOK
}

// hangBeforeAnswer makes the machine hang once, after it has carried out the commands and
// before it answers. It releases the mutex while the machine hangs.
func (m *machineAgent) hangBeforeAnswer() {
	hang := m.nextCommandHang
	m.nextCommandHang, m.hung = 0, true
	m.env.mu.Unlock()
	time.Sleep(hang)
	m.env.mu.Lock()
	m.hung = false
}

// executeCommands carries out commands in their order. Every command is idempotent: a start of
// a known attempt, and a stop or release of an unknown one, has no effect.
func (m *machineAgent) executeCommands(commands []protocol.Command) {
	for _, command := range commands {
		jobID, index := parseTaskName(command.Task)
		addressed := m.findAttempt(jobID, index, command.Attempt)
		switch command.Verb {
		case protocol.VerbStart:
			if addressed == nil {
				m.startTask(jobID, index, command.Attempt)
			}
		case protocol.VerbStop:
			if addressed != nil && addressed.state != protocol.TaskExited {
				m.stopTask(addressed, command.GracePeriodS)
			}
		case protocol.VerbRelease:
			m.releaseTask(addressed)
		}
	}
}

// stopTask stops a task. A running task saves a checkpoint first if its job uses checkpoints and
// the grace period is long enough. A task that is already saving one continues to do so unless
// the grace period is zero.
func (m *machineAgent) stopTask(task *agentTask, gracePeriodS float64) {
	spec := &m.env.jobs[task.jobID].spec
	savesCheckpoint := task.state == protocol.TaskRunning && spec.CheckpointIntervalS > 0 && gracePeriodS >= spec.CheckpointSaveS
	switch {
	case savesCheckpoint:
		m.setState(task, protocol.TaskSaving)
	case task.state != protocol.TaskSaving || gracePeriodS == 0:
		m.exit(task, protocol.ExitStopped)
	}
}

// releaseTask removes a task that has exited from the machine. A controller sends the command
// once it has recorded the exit.
func (m *machineAgent) releaseTask(released *agentTask) {
	for i, task := range m.tasks {
		if task == released && task.state == protocol.TaskExited {
			m.tasks = append(m.tasks[:i:i], m.tasks[i+1:]...)
			m.statusChanged = true
			return
		}
	}
}

// startTask adds a task to the machine. The task first fetches its image. If the task cannot
// start, it is added as exited, with the reason.
func (m *machineAgent) startTask(jobID protocol.JobID, index int, attempt uint64) {
	task := &agentTask{jobID: jobID, index: index, attempt: attempt, state: protocol.TaskExited, stateSince: time.Now()}
	m.statusChanged = true
	job := m.env.jobs[jobID]
	existing := m.findTask(jobID, index)
	switch {
	case job == nil:
		task.exitReason = protocol.ExitUnknownTask
	case existing != nil && existing.state != protocol.TaskExited:
		task.exitReason = protocol.ExitDuplicate
	case !m.hasCapacityFor(&job.spec):
		task.exitReason = protocol.ExitNoCapacity
	default:
		task.state = protocol.TaskFetching
	}
	m.tasks = append(m.tasks, task)
}

// parseTaskName splits a task's name, which is the job ID, a slash and the task's index.
func parseTaskName(name string) (protocol.JobID, int) {
	jobID, index, _ := strings.Cut(name, "/")
	number, _ := strconv.Atoi(index)
	return protocol.JobID(jobID), number
}
