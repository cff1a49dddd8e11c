package cluster

import (
	"slices"

	"marblehaven/internal/protocol"
)

// TaskStatuses holds the tasks that the newest applied status lists.
type TaskStatuses struct {
	ReportedTasks []ReportedTask
	// UnknownTaskCount is how many of the tasks had not exited and belonged to no
	// placement when the status was applied. New work stays away until they are
	// stopped, because nobody has counted the capacity that they use.
	UnknownTaskCount int
	// statusMatches tells that the status lists exactly what is placed in its
	// incarnation and that no placement has changed since, so that an equal
	// status ends nothing and can be skipped.
	statusMatches bool
}

// ReportedTask is a task in the newest applied status.
type ReportedTask struct {
	protocol.TaskStatus
	Key    TaskKey
	Parsed bool // Key could be read from the task's name
}

// ParseTaskName reads the key of a task from the name that agents know the task by.
type ParseTaskName func(name string) (key TaskKey, parsed bool)

// index replaces the listed tasks by those of a new status, counts the unknown ones, and
// returns the statuses of those that belong to a placement.
func (s *TaskStatuses) index(tasks []protocol.TaskStatus, parse ParseTaskName, isPlaced func(*ReportedTask) bool) map[TaskKey]*protocol.TaskStatus {
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

// saysNothingNew tells whether a status with these tasks can end no placement, because the
// one before was equal and matched all placements.
func (s *TaskStatuses) saysNothingNew(tasks []protocol.TaskStatus) bool {
	return s.statusMatches && slices.EqualFunc(s.ReportedTasks, tasks, func(known ReportedTask, task protocol.TaskStatus) bool {
		return known.TaskStatus == task
	})
}

// placementsChanged makes the next status be compared with the placements in full.
func (s *TaskStatuses) placementsChanged() {
	s.statusMatches = false
}

// lists tells whether the newest applied status lists the attempt.
func (s *TaskStatuses) lists(attempt attemptKey) bool {
	return slices.ContainsFunc(s.ReportedTasks, func(task ReportedTask) bool {
		return task.Parsed && task.Key == attempt.TaskKey && task.Attempt == attempt.attempt
	})
}

// isPlaced tells whether a listed task belongs to a placement of the present incarnation.
func (m *Machine) isPlaced(task *ReportedTask) bool {
	return m.Placements.include(task, m.Incarnation)
}

// UnknownTasks lists the tasks in the newest applied status that have not exited and
// belong to no placement now.
func (m *Machine) UnknownTasks() (unknown []ReportedTask) {
	for i := range m.ReportedTasks {
		if task := &m.ReportedTasks[i]; task.State != protocol.TaskExited && !m.isPlaced(task) {
			unknown = append(unknown, *task)
		}
	}
	return unknown
}
