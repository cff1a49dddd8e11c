package cluster

import (
	"slices"

	"marblehaven/internal/protocol"
)

// ReportedTask is a task in a worker's newest report.
type ReportedTask struct {
	protocol.TaskStatus
	Key    TaskKey
	Parsed bool // its name could be read
}

// indexTasks takes in the tasks that a report lists and returns those that are known.
func (m *Machine) indexTasks(status *protocol.Heartbeat, parse func(string) (TaskKey, bool)) map[TaskKey]*protocol.TaskStatus {
	m.ReportedTasks = make([]ReportedTask, len(status.Tasks))
	m.UnknownTaskCount = 0
	listed := make(map[TaskKey]*protocol.TaskStatus, len(status.Tasks))
	for i := range status.Tasks {
		key, parsed := parse(status.Tasks[i].Task)
		m.ReportedTasks[i] = ReportedTask{status.Tasks[i], key, parsed}
		if m.isRecorded(&m.ReportedTasks[i]) {
			listed[key] = &status.Tasks[i]
		} else if status.Tasks[i].State != protocol.TaskExited {
			m.UnknownTaskCount++
		}
	}
	return listed
}

// isRecorded tells whether a reported task is one that the records place here.
func (m *Machine) isRecorded(task *ReportedTask) bool {
	placement := m.Placements[task.Key]
	return task.Parsed && placement != nil && placement.Attempt == task.Attempt && placement.Incarnation == m.Incarnation
}

// UnknownTasks lists the tasks in the newest report that still run and that no record
// places here.
func (m *Machine) UnknownTasks() (unknown []ReportedTask) {
	for i := range m.ReportedTasks {
		if task := &m.ReportedTasks[i]; task.State != protocol.TaskExited && !m.isRecorded(task) {
			unknown = append(unknown, *task)
		}
	}
	return unknown
}

func (m *Machine) matchesTasks(tasks []protocol.TaskStatus) bool {
	return slices.EqualFunc(m.ReportedTasks, tasks, func(known ReportedTask, task protocol.TaskStatus) bool { return known.TaskStatus == task })
}

// needsStartToken tells whether an attempt is live or listed in the newest report.
func (m *Machine) needsStartToken(start attemptKey) bool {
	listed := func(task ReportedTask) bool {
		return task.Parsed && task.Key == start.TaskKey && task.Attempt == start.attempt
	}
	return m.Placements[start.TaskKey] != nil || slices.ContainsFunc(m.ReportedTasks, listed)
}
