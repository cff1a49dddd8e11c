package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

// dependenciesOf lists the jobs that a job needs, directly or through others.
func (w *Environment) dependenciesOf(u *userJob) []*userJob {
	var out []*userJob
	seen := map[string]bool{}
	work := u.job.DependsOn
	for len(work) > 0 {
		ref := work[0]
		work = work[1:]
		if d := w.jobs[ref]; d != nil && !seen[ref] {
			seen[ref] = true
			out = append(out, d)
			work = append(work, d.job.DependsOn...)
		}
	}
	return out
}

// MayFinish tells whether no user has asked to cancel the job or one that it needs.
func (w *Environment) MayFinish(ref string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	asked, _ := w.cancelledBefore(w.jobs[ref])
	return !asked && !w.jobs[ref].cancelAsked
}

// complete tells whether all tasks of a job are done.
func (u *userJob) complete() bool { return len(u.finished) >= u.job.Tasks }

// mayStart tells whether all jobs that a job needs are done: one whose user was told
// that it is cancelled never is, though all its tasks may be complete.
func (w *Environment) mayStart(u *userJob) bool {
	for _, d := range w.dependenciesOf(u) {
		if !d.complete() || !d.cancelTold.IsZero() {
			return false
		}
	}
	return true
}

// mustStart tells whether a job may start and nothing has cancelled it: one that it
// needs may be cancelled after its last task is done and before that is recorded.
func (w *Environment) mustStart(u *userJob) bool {
	for _, d := range w.dependenciesOf(u) {
		if d.cancelAsked && !d.done {
			return false
		}
	}
	return !u.cancelAsked && w.mayStart(u)
}

// cancelledBefore tells whether a user has asked to cancel a job that this one
// needs, and since when one was told that it is; zero: none was.
func (w *Environment) cancelledBefore(u *userJob) (asked bool, told time.Time) {
	for _, d := range w.dependenciesOf(u) {
		asked = asked || d.cancelAsked
		if t := d.cancelTold; !t.IsZero() && (told.IsZero() || t.Before(told)) {
			told = t
		}
	}
	return asked, told
}

// checkDependentAnswer judges what the user of a job that needs others is told.
func (w *Environment) checkDependentAnswer(u *userJob, phase string) {
	if phase != protocol.PhaseQueued && phase != protocol.PhaseRunning {
		return
	}
	_, told := w.cancelledBefore(u)
	if told.IsZero() {
		return
	}
	if d := time.Since(told); d.Seconds() > w.Cfg.Workers.CancelS {
		w.violate("orphaned: %s is called %s %v after a job that it needs was cancelled", u.job.ID, phase, d)
	}
}
