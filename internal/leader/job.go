package leader

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/scheduler"
)

// jobState is the leader's state of an open job.
type jobState struct {
	id          protocol.JobID
	spec        protocol.Job
	acceptedAt  time.Time // wall-clock time
	cancelled   bool
	openVersion protocol.Version
	segments    []runSegment // of the run record, by number; the method segment adds missing ones

	pendingDependencies map[protocol.JobID]bool // not known to be done
	readyAt             time.Time               // when the last dependency was done; acceptedAt if there is none

	nextAttempt uint64 // the next unused attempt number
	doneTasks   records.TaskRanges
	doneCount   int
	placements  map[int]*cluster.Placement // by task
	nextTask    int                        // tasks from here on were never started
	requeued    []int                      // tasks before nextTask that wait, sorted

	// unrecordedDone holds the tasks whose completion is not recorded yet. Their
	// agents must not forget them.
	unrecordedDone map[int]bool
	// awaitsOpenRecord is true from the time a controller reports the job as cancelled
	// until the leader has read the changed open record. In between openVersion is out of
	// date, so no write may be conditional on it.
	awaitsOpenRecord bool
	recordUnreadable bool // a segment of the run record could not be read
	backoffUntil     time.Time
	failures         int       // exits of tasks with an error since a task last completed
	addedAt          time.Time // when this leader added the job
}

func newJob(jobID protocol.JobID, open *records.OpenJob, version protocol.Version, now time.Time) *jobState {
	acceptedAt := time.UnixMilli(open.AcceptedMS)
	return &jobState{
		id:             jobID,
		spec:           open.Job,
		acceptedAt:     acceptedAt,
		readyAt:        acceptedAt,
		cancelled:      open.Cancelled,
		openVersion:    version,
		nextAttempt:    1,
		placements:     map[int]*cluster.Placement{},
		unrecordedDone: map[int]bool{},
		addedAt:        now,
	}
}

// restore restores the state of the job from the run record of an earlier leader. The
// placements are added by restorePlacement.
func (j *jobState) restore(record *records.RunRecord) {
	j.nextAttempt = max(1, record.NextAttempt)
	j.doneTasks = record.Done
	j.doneCount = j.doneTasks.Count()
	for _, taskRange := range j.doneTasks {
		j.nextTask = max(j.nextTask, taskRange[1]+1)
	}
	placed := map[int]bool{}
	for _, placement := range record.Placements {
		j.nextTask = max(j.nextTask, placement.Task+1)
		placed[placement.Task] = true
	}
	for task := range j.nextTask {
		if !placed[task] && !j.doneTasks.Has(task) {
			j.requeued = append(j.requeued, task)
		}
	}
}

func (j *jobState) isGang() bool { return j.spec.Kind == protocol.KindGang }

// unstarted returns how many tasks are neither done nor possibly on a machine. Requeued
// tasks, which were started before, are included.
func (j *jobState) unstarted() int { return j.spec.Tasks - j.doneCount - len(j.placements) }

// waitingTasks returns how many tasks may be started now. All tasks of a gang start
// together, so none may start while a task of an earlier attempt may still be on a
// machine.
func (j *jobState) waitingTasks() int {
	if j.cancelled || len(j.pendingDependencies) > 0 || (j.isGang() && len(j.placements) > 0) {
		return 0
	}
	return j.unstarted()
}

// fullyStarted reports whether every task of an array has been started once, or whether
// all tasks of a gang or a service are on machines.
func (j *jobState) fullyStarted() bool {
	if j.spec.Kind == protocol.KindArray {
		return j.nextTask >= j.spec.Tasks
	}
	return len(j.placements) >= j.spec.Tasks
}

// isOver reports whether the job can be closed: none of its tasks can be on a machine,
// and no work is left.
func (j *jobState) isOver() bool {
	return len(j.placements) == 0 && (j.cancelled || j.doneCount >= j.spec.Tasks)
}

// takeTask returns the next task to start.
func (j *jobState) takeTask() int {
	if len(j.requeued) > 0 {
		task := j.requeued[0]
		j.requeued = j.requeued[1:]
		return task
	}
	j.nextTask++
	return j.nextTask - 1
}

// requeueTask puts a task back among those that wait to be started.
func (j *jobState) requeueTask(task int) {
	if i, waits := slices.BinarySearch(j.requeued, task); !waits {
		j.requeued = slices.Insert(j.requeued, i, task)
	}
}

// backOff prevents starts of the job before a time. backOff never shortens a backoff in
// force, since that one may be needed until every attempt that an undecodable record may
// name must have ended (see backOffUnreadable).
func (j *jobState) backOff(until time.Time) {
	if until.After(j.backoffUntil) {
		j.backoffUntil = until
	}
}

func (j *jobState) request() scheduler.Resources { return scheduler.RequestOf(&j.spec) }

func (j *jobState) priority() protocol.PriorityLevel { return j.spec.Priority.Level() }

func (j *jobState) isProduction() bool { return j.priority() == protocol.LevelProduction }

// taskName returns the name that agents have for a task.
func taskName(key cluster.TaskKey) string { return string(key.Job) + "/" + strconv.Itoa(key.Task) }

// parseTaskName parses the name of a task; ok is false if the name is malformed.
func parseTaskName(name string) (key cluster.TaskKey, ok bool) {
	jobID, number, found := strings.Cut(name, "/")
	task, err := strconv.Atoi(number)
	return cluster.TaskKey{Job: protocol.JobID(jobID), Task: task}, found && err == nil && task >= 0
}
