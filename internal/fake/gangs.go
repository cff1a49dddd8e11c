package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

// gang is an attempt of a job whose tasks run all at once.
type gang struct {
	jobID   protocol.JobID
	attempt uint64
}

// updateGangs starts gangs that are complete and ends running ones that lost
// a task. (A lost task is noticed at once here, which PROTOCOL allows.)
func (e *Environment) updateGangs() {
	waiting, running := e.gangTasks()
	for id, tasks := range waiting {
		job := e.jobs[id.jobID]
		if len(tasks) == job.job.Tasks {
			startGang(job, tasks)
		}
	}
	for id, tasks := range running {
		job := e.jobs[id.jobID]
		if len(tasks) != job.job.Tasks {
			endGang(job, tasks)
		}
	}
}

// gangTasks lists the tasks of each gang that wait for the others, and those that run
// or have saved a checkpoint.
func (e *Environment) gangTasks() (waiting, running map[gang][]*agentTask) {
	waiting, running = map[gang][]*agentTask{}, map[gang][]*agentTask{}
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
	return waiting, running
}

func startGang(job *userJob, tasks []*agentTask) {
	for _, task := range tasks {
		task.state, task.stateSince, task.remainingS = protocol.TaskRunning, time.Now(), job.runS
	}
}

// endGang ends the running tasks of a gang that has lost one. If one is done, all are:
// they complete together.
func endGang(job *userJob, tasks []*agentTask) {
	for _, task := range tasks {
		if task.state != protocol.TaskRunning {
			continue
		}
		task.state, task.stateSince, task.exitReason = protocol.TaskExited, time.Now(), "peers"
		if len(job.finished) > 0 {
			job.finished[task.index], task.exitReason = true, protocol.ExitDone
		}
	}
}
