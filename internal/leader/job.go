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

// jobState is an open job as the leader knows it.
type jobState struct {
	id          protocol.JobID
	spec        protocol.Job
	acceptedAt  time.Time // time of day of acceptance
	cancelled   bool
	openVersion protocol.Version
	segments    []runSegment // of its run record, by number; see piece

	pendingDependencies map[protocol.JobID]bool // dependencies that are not known to be done
	readyAt             time.Time               // when the last dependency was done; without any, at

	nextAttempt uint64 // the next unused attempt
	doneTasks   records.TaskRanges
	doneCount   int
	placements  map[int]*cluster.Placement
	nextTask    int   // tasks from here on were never started
	requeued    []int // tasks before the cursor that wait, sorted

	unrecordedDone map[int]bool // done, not yet recorded: not to be reaped
	// awaitsOpenRecord: a controller says that it is cancelled, but the record with that
	// has not been read yet, so nothing can be written on its version.
	awaitsOpenRecord bool
	recordUnreadable bool // its run record could not be read
	backoffUntil     time.Time
	failures         int
	knownSince       time.Time // when the leader learnt of it
}

func newJob(jobID protocol.JobID, o *records.OpenJob, version protocol.Version, now time.Time) *jobState {
	at := time.UnixMilli(o.AcceptedMS)
	return &jobState{id: jobID, spec: o.Job, acceptedAt: at, readyAt: at, cancelled: o.Cancelled, openVersion: version,
		nextAttempt: 1, placements: map[int]*cluster.Placement{}, unrecordedDone: map[int]bool{}, knownSince: now}
}

// restore takes in the run record of an earlier leader.
func (j *jobState) restore(r *records.RunRecord) {
	j.nextAttempt, j.doneTasks = max(1, r.NextAttempt), r.Done
	j.doneCount = j.doneTasks.Count()
	for _, e := range j.doneTasks {
		j.nextTask = max(j.nextTask, e[1]+1)
	}
	held := map[int]bool{}
	for _, p := range r.Placements {
		j.nextTask = max(j.nextTask, p.Task+1)
		held[p.Task] = true
	}
	for i := range j.nextTask {
		if !held[i] && !j.doneTasks.Has(i) {
			j.requeued = append(j.requeued, i)
		}
	}
}

func (j *jobState) isGang() bool { return j.spec.Kind == protocol.KindGang }

// waitingTasks is how many tasks may be started now. A gang starts whole: none while
// anything of an earlier attempt may still be on a machine.
func (j *jobState) waitingTasks() int {
	if j.cancelled || len(j.pendingDependencies) > 0 || (j.isGang() && len(j.placements) > 0) {
		return 0
	}
	return j.spec.Tasks - j.doneCount - len(j.placements)
}

// fullyStarted tells whether all tasks have been started once, a gang's or service's
// if they are on machines.
func (j *jobState) fullyStarted() bool {
	if j.spec.Kind == protocol.KindArray {
		return j.nextTask >= j.spec.Tasks
	}
	return len(j.placements) >= j.spec.Tasks
}

// The order in which records are written, the lowest first: production's starts,
// what ends a job and other starts by their rank, and last what holds completions
// only.
const (
	writeProductionStarts = 0
	writeClosing          = 1
	writeCompletions      = 10
)

func (j *jobState) writeOrder(segment *runSegment) int {
	switch {
	case !segment.holdsStarts:
		return writeCompletions
	case j.priority() == 0:
		return writeProductionStarts
	}
	return writeClosing + int(j.priority())
}

func (j *jobState) isOver() bool {
	return len(j.placements) == 0 && (j.cancelled || j.doneCount >= j.spec.Tasks)
}

func (j *jobState) takeTask() int {
	if len(j.requeued) > 0 {
		n := j.requeued[0]
		j.requeued = j.requeued[1:]
		return n
	}
	j.nextTask++
	return j.nextTask - 1
}

func (j *jobState) requeueTask(n int) {
	if i, ok := slices.BinarySearch(j.requeued, n); !ok {
		j.requeued = slices.Insert(j.requeued, i, n)
	}
}

// backOff lets nothing of the job start before a time. It never shortens a rest: one may
// last until what a lost record named is surely over.
func (j *jobState) backOff(until time.Time) {
	if until.After(j.backoffUntil) {
		j.backoffUntil = until
	}
}

func (j *jobState) request() scheduler.Resources { return scheduler.RequestOf(&j.spec) }

func (j *jobState) priority() protocol.PriorityLevel { return j.spec.Priority.Level() }

func taskName(k cluster.TaskKey) string { return string(k.Job) + "/" + strconv.Itoa(k.Task) }

func parseTask(s string) (cluster.TaskKey, bool) {
	jobID, num, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	return cluster.TaskKey{Job: protocol.JobID(jobID), Task: n}, ok && err == nil && n >= 0
}
