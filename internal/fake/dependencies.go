package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

// dependenciesOf lists the jobs that a job needs, directly or through others.
func (w *Environment) dependenciesOf(job *userJob) []*userJob {
	var out []*userJob
	seen := map[protocol.JobID]bool{}
	work := job.job.DependsOn
	for len(work) > 0 {
		jobID := work[0]
		work = work[1:]
		if d := w.jobs[jobID]; d != nil && !seen[jobID] {
			seen[jobID] = true
			out = append(out, d)
			work = append(work, d.job.DependsOn...)
		}
	}
	return out
}

// MayFinish tells whether no user has asked to cancel the job or one that it needs.
func (w *Environment) MayFinish(jobID protocol.JobID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	asked, _ := w.cancelledBefore(w.jobs[jobID])
	return !asked && !w.jobs[jobID].cancelAsked
}

// complete tells whether all tasks of a job are done.
func (u *userJob) complete() bool { return len(u.finished) >= u.job.Tasks }

// mayStart tells whether all jobs that a job needs are done: one whose user was told
// that it is cancelled never is, though all its tasks may be complete.
func (w *Environment) mayStart(job *userJob) bool {
	for _, d := range w.dependenciesOf(job) {
		if !d.complete() || !d.cancelTold.IsZero() {
			return false
		}
	}
	return true
}

// mustStart tells whether a job may start and nothing has cancelled it: one that it
// needs may be cancelled after its last task is done and before that is recorded.
func (w *Environment) mustStart(job *userJob) bool {
	for _, d := range w.dependenciesOf(job) {
		if d.cancelAsked && !d.done {
			return false
		}
	}
	return !job.cancelAsked && w.mayStart(job)
}

// cancelledBefore tells whether a user has asked to cancel a job that this one
// needs, and since when one was told that it is; zero: none was.
func (w *Environment) cancelledBefore(job *userJob) (asked bool, told time.Time) {
	for _, d := range w.dependenciesOf(job) {
		asked = asked || d.cancelAsked
		if t := d.cancelTold; !t.IsZero() && (told.IsZero() || t.Before(told)) {
			told = t
		}
	}
	return asked, told
}

// checkDependentAnswer judges what the user of a job that needs others is told.
func (w *Environment) checkDependentAnswer(job *userJob, phase protocol.JobPhase) {
	if phase != protocol.PhaseQueued && phase != protocol.PhaseRunning {
		return
	}
	_, told := w.cancelledBefore(job)
	if told.IsZero() {
		return
	}
	if d := time.Since(told); d.Seconds() > w.Cfg.Workers.CancelS {
		w.violate("orphaned: %s is called %s %v after a job that it needs was cancelled", job.job.ID, phase, d)
	}
}
