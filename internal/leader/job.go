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

// job is an open job as the leader knows it.
type job struct {
	ref         string
	desc        protocol.Job
	at          time.Time // time of day of acceptance
	cancelled   bool
	openVersion uint64
	pieces      []piece // of its run record, by number; see piece

	waitsFor map[string]bool // dependencies that are not known to be done
	readyAt  time.Time       // when the last dependency was done; without any, at

	next    uint64 // the next unused attempt
	done    records.TaskRanges
	nDone   int
	live    map[int]*cluster.Placement
	cursor  int   // tasks from here on were never started
	requeue []int // tasks before the cursor that wait, sorted

	pendingDone map[int]bool // done, not yet recorded: not to be reaped
	// recordBehind: a controller says that it is cancelled, but the record with that
	// has not been read yet, so nothing can be written on its version.
	recordBehind bool
	unread       bool // its run record could not be read
	restUntil    time.Time
	errors       int
	seenAt       time.Time // when the leader learnt of it
}

func newJob(ref string, o *records.OpenJob, version uint64, now time.Time) *job {
	at := time.UnixMilli(o.AcceptedMS)
	return &job{ref: ref, desc: o.Job, at: at, readyAt: at, cancelled: o.Cancelled, openVersion: version,
		next: 1, live: map[int]*cluster.Placement{}, pendingDone: map[int]bool{}, seenAt: now}
}

// restore takes in the run record of an earlier leader.
func (j *job) restore(r *records.RunRecord) {
	j.next, j.done = max(1, r.NextAttempt), r.Done
	j.nDone = j.done.Count()
	for _, e := range j.done {
		j.cursor = max(j.cursor, e[1]+1)
	}
	held := map[int]bool{}
	for _, p := range r.Placements {
		j.cursor = max(j.cursor, p.Task+1)
		held[p.Task] = true
	}
	for i := range j.cursor {
		if !held[i] && !j.done.Has(i) {
			j.requeue = append(j.requeue, i)
		}
	}
}

func (j *job) gang() bool { return j.desc.Kind == protocol.KindGang }

// waiting is how many tasks may be started now. A gang starts whole: none while
// anything of an earlier attempt may still be on a machine.
func (j *job) waiting() int {
	if j.cancelled || len(j.waitsFor) > 0 || (j.gang() && len(j.live) > 0) {
		return 0
	}
	return j.desc.Tasks - j.nDone - len(j.live)
}

// begun tells whether all tasks have been started once, a gang's or service's
// if they are on machines.
func (j *job) begun() bool {
	if j.desc.Kind == protocol.KindArray {
		return j.cursor >= j.desc.Tasks
	}
	return len(j.live) >= j.desc.Tasks
}

// The order in which records are written, the lowest first: production's starts,
// what ends a job and other starts by their rank, and last what holds completions
// only.
const (
	writeProduction = 0
	writeClose      = 1
	writeLater      = 10
)

func (j *job) writeOrder(p *piece) int {
	switch {
	case !p.urgent:
		return writeLater
	case j.rank() == 0:
		return writeProduction
	}
	return writeClose + j.rank()
}

func (j *job) over() bool { return len(j.live) == 0 && (j.cancelled || j.nDone >= j.desc.Tasks) }

func (j *job) take() int {
	if len(j.requeue) > 0 {
		n := j.requeue[0]
		j.requeue = j.requeue[1:]
		return n
	}
	j.cursor++
	return j.cursor - 1
}

func (j *job) giveBack(n int) {
	if i, ok := slices.BinarySearch(j.requeue, n); !ok {
		j.requeue = slices.Insert(j.requeue, i, n)
	}
}

// rest lets nothing of the job start before a time. It never shortens a rest: one may
// last until what a lost record named is surely over.
func (j *job) rest(until time.Time) {
	if until.After(j.restUntil) {
		j.restUntil = until
	}
}

func (j *job) need() scheduler.Resources { return scheduler.RequestOf(&j.desc) }

func (j *job) rank() int {
	return slices.Index([]string{protocol.PriorityProduction, protocol.PriorityHigh, protocol.PriorityStandard, protocol.PriorityIdle}, j.desc.Priority)
}

func taskName(k cluster.TaskKey) string { return k.Job + "/" + strconv.Itoa(k.Task) }

func parseTask(s string) (cluster.TaskKey, bool) {
	ref, num, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	return cluster.TaskKey{Job: ref, Task: n}, ok && err == nil && n >= 0
}
