package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

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
