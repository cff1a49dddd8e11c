package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

// agentTask is one attempt of a task on a machine, until the controller releases it.
type agentTask struct {
	jobID        protocol.JobID
	index        int
	attempt      uint64
	state        protocol.TaskState
	exitReason   protocol.ExitReason
	checkpointed bool
	stateSince   time.Time // when the state began
	remainingS   float64   // seconds of work left, while running
	// reportedUnrecorded is set once the checker has reported that no run record names the task.
	reportedUnrecorded bool
}

// occupiesMachine reports whether the checker's rules count the task as being on its
// machine: from the time its image has been fetched until the task exits.
func (t *agentTask) occupiesMachine() bool {
	return t.state != protocol.TaskExited && t.state != protocol.TaskFetching
}

// advanceTasks advances each task by the elapsed time through the task states of the protocol.
func (m *machineAgent) advanceTasks(elapsedS float64) {
	for _, task := range m.tasks {
		job := m.env.jobs[task.jobID]
		age := time.Since(task.stateSince).Seconds()
		switch task.state {
		case protocol.TaskFetching:
			if m.imageCache[job.spec.Image] || age >= job.spec.ImageGB/m.machineType.FetchGBps {
				m.endFetching(task, job)
			}
		case protocol.TaskWaiting:
			if age > m.env.Cfg.Workers.GangWaitS {
				m.exit(task, exitGangIncomplete)
			}
		case protocol.TaskRunning:
			m.advanceRunning(task, job, elapsedS)
		case protocol.TaskSaving:
			if age >= job.spec.CheckpointSaveS {
				task.checkpointed = true
				m.env.savedCheckpoints++
				m.exit(task, protocol.ExitStopped)
			}
		}
	}
}

// endFetching starts a task whose image has been fetched. A task that is already done exits, and
// a task of a gang waits for the others.
func (m *machineAgent) endFetching(task *agentTask, job *userJob) {
	m.imageCache[job.spec.Image] = true
	switch {
	case job.finished[task.index]:
		m.exit(task, protocol.ExitDone)
	case job.spec.Kind == protocol.KindGang:
		m.setState(task, protocol.TaskWaiting)
	default:
		task.remainingS = job.runS * (1 + m.env.runTimeIncrement*float64(task.index))
		m.setState(task, protocol.TaskRunning)
	}
	m.env.checkStart(m, task)
	m.env.updateGangs()
}

// advanceRunning reduces the remaining work of a running task, and ends the task when the work
// is done. A task of a service runs until it is stopped.
func (m *machineAgent) advanceRunning(task *agentTask, job *userJob, elapsedS float64) {
	if job.spec.Kind == protocol.KindService {
		return
	}
	task.remainingS -= elapsedS
	if task.remainingS > 0 {
		return
	}
	job.finished[task.index] = true
	m.exit(task, protocol.ExitDone)
	if m.env.onJobDone != nil && len(job.finished) == job.spec.Tasks {
		go m.env.onJobDone(task.jobID)
	}
}

// setState changes a task's state and makes the next heartbeat due early.
func (m *machineAgent) setState(task *agentTask, state protocol.TaskState) {
	task.state, task.stateSince, m.statusChanged = state, time.Now(), true
}

// exit ends a task with a reason. The other running tasks of its gang, if it has one, end too.
func (m *machineAgent) exit(task *agentTask, reason protocol.ExitReason) {
	task.exitReason = reason
	m.setState(task, protocol.TaskExited)
	if m.env.jobs[task.jobID].spec.Kind == protocol.KindGang {
		m.env.updateGangs()
	}
}

// findTask returns the first attempt of a task that the machine has, or nil.
func (m *machineAgent) findTask(jobID protocol.JobID, index int) *agentTask {
	for _, task := range m.tasks {
		if task.jobID == jobID && task.index == index {
			return task
		}
	}
	return nil
}

// findAttempt returns an attempt of a task, or nil if the machine has none.
func (m *machineAgent) findAttempt(jobID protocol.JobID, index int, attempt uint64) *agentTask {
	var found *agentTask
	for _, task := range m.tasks {
		if task.jobID == jobID && task.index == index && task.attempt == attempt {
			found = task
		}
	}
	return found
}
