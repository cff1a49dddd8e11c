package cluster

import (
	"slices"

	"marblehaven/internal/protocol"
)

// TaskStatuses holds the tasks that the newest applied status lists.
type TaskStatuses struct {
	ReportedTasks []ReportedTask
	// UnknownTaskCount is how many of the tasks had not exited and belonged to no
	// placement when the status was applied. The machine gets no new work until they are
	// stopped, because the capacity that they use is not accounted for.
	UnknownTaskCount int
	// statusMatches is true if the status lists exactly what is placed in its incarnation
	// and no placement has changed since, so that an equal status ends nothing and can be
	// skipped.
	statusMatches bool
}

// ReportedTask is a task in the newest applied status.
type ReportedTask struct {
	protocol.TaskStatus
	Key    TaskKey
	Parsed bool // whether Key could be parsed from the task's name
}

// ParseTaskName parses the key of a task from the task's name in statuses and commands.
type ParseTaskName func(name string) (key TaskKey, parsed bool)

// setReportedTasks replaces the listed tasks by those of a new status, counts the unknown
// ones, and returns the statuses of those that belong to a placement.
func (s *TaskStatuses) setReportedTasks(tasks []protocol.TaskStatus, parse ParseTaskName, isPlaced func(*ReportedTask) bool) map[TaskKey]*protocol.TaskStatus {
	s.ReportedTasks = make([]ReportedTask, len(tasks))
	s.UnknownTaskCount = 0
	listed := make(map[TaskKey]*protocol.TaskStatus, len(tasks))
	for i := range tasks {
		key, parsed := parse(tasks[i].Task)
		s.ReportedTasks[i] = ReportedTask{tasks[i], key, parsed}
		if isPlaced(&s.ReportedTasks[i]) {
			listed[key] = &tasks[i]
		} else if tasks[i].State != protocol.TaskExited {
			s.UnknownTaskCount++
		}
	}
	return listed
}

// tasksUnchanged reports whether a status with these tasks can end no placement, because
// the previous status was equal and matched all placements.
func (s *TaskStatuses) tasksUnchanged(tasks []protocol.TaskStatus) bool {
	return s.statusMatches && slices.EqualFunc(s.ReportedTasks, tasks, func(applied ReportedTask, task protocol.TaskStatus) bool {
		return applied.TaskStatus == task
	})
}

// placementsChanged forces a full comparison of the next status with the placements.
func (s *TaskStatuses) placementsChanged() {
	s.statusMatches = false
}

// lists reports whether the newest applied status lists the attempt.
func (s *TaskStatuses) lists(attempt attemptKey) bool {
	return slices.ContainsFunc(s.ReportedTasks, func(task ReportedTask) bool {
		return task.Parsed && task.Key == attempt.TaskKey && task.Attempt == attempt.attempt
	})
}

// isPlaced reports whether a listed task belongs to a placement of the current
// incarnation.
func (m *Machine) isPlaced(task *ReportedTask) bool {
	return m.Placements.contains(task, m.Incarnation)
}

// UnknownTasks returns the tasks in the newest applied status that have not exited and
// now belong to no placement.
func (m *Machine) UnknownTasks() (unknown []ReportedTask) {
	for i := range m.ReportedTasks {
		if task := &m.ReportedTasks[i]; task.State != protocol.TaskExited && !m.isPlaced(task) {
			unknown = append(unknown, *task)
		}
	}
	return unknown
}
