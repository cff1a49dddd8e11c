package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

// Reasons for which the tasks of a gang exit.
const (
	exitGangIncomplete protocol.ExitReason = "incomplete" // the other tasks did not start in time
	exitGangPeerLost   protocol.ExitReason = "peers"      // another task of the gang was lost
)

// gang identifies one attempt of a gang job, all tasks of which run at the same time.
type gang struct {
	jobID   protocol.JobID
	attempt uint64
}

// updateGangs starts the gangs whose tasks all wait, and ends the running gangs that have lost a
// task. The protocol gives agents some time to detect a lost task; here they detect it at once.
func (e *Environment) updateGangs() {
	waiting, running := e.gangTasks()
	for id, tasks := range waiting {
		job := e.jobs[id.jobID]
		if len(tasks) == job.spec.Tasks {
			startGang(job, tasks)
		}
	}
	for id, tasks := range running {
		job := e.jobs[id.jobID]
		if len(tasks) != job.spec.Tasks {
			endGang(job, tasks)
		}
	}
}

// gangTasks groups the gangs' tasks into those that wait for the others and those that run, save
// a checkpoint or have saved one.
func (e *Environment) gangTasks() (waiting, running map[gang][]*agentTask) {
	waiting, running = map[gang][]*agentTask{}, map[gang][]*agentTask{}
	for _, machine := range e.machines {
		for _, task := range machine.tasks {
			id := gang{task.jobID, task.attempt}
			switch {
			case e.jobs[task.jobID].spec.Kind != protocol.KindGang:
			case task.state == protocol.TaskWaiting:
				waiting[id] = append(waiting[id], task)
			case task.state == protocol.TaskRunning, task.state == protocol.TaskSaving, task.checkpointed:
				running[id] = append(running[id], task)
			}
		}
	}
	return waiting, running
}

// startGang starts the tasks of a gang that is complete.
func startGang(job *userJob, tasks []*agentTask) {
	for _, task := range tasks {
		task.state, task.stateSince, task.remainingS = protocol.TaskRunning, time.Now(), job.runS
	}
}

// endGang ends the running tasks of a gang that has lost one. If any task of the job is done,
// the others become done too, because the tasks of a gang complete together.
func endGang(job *userJob, tasks []*agentTask) {
	for _, task := range tasks {
		if task.state != protocol.TaskRunning {
			continue
		}
		task.state, task.stateSince, task.exitReason = protocol.TaskExited, time.Now(), exitGangPeerLost
		if len(job.finished) > 0 {
			job.finished[task.index], task.exitReason = true, protocol.ExitDone
		}
	}
}
