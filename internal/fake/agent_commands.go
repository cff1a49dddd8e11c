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

func parseTaskName(s string) (protocol.JobID, int) {
	jobID, index, _ := strings.Cut(s, "/")
	n, _ := strconv.Atoi(index)
	return protocol.JobID(jobID), n
}
