package api

import (
	"context"
	"errors"
	"sync"
	"time"

	"marblehaven/internal/tuning"
	"marblehaven/internal/wire"
)

// dependencyState is what the jobs that a job waits for mean for it.
type dependencyState int

const (
	dependencyOpen      dependencyState = iota // all were accepted, and none is cancelled
	dependencyCancelled                        // one is cancelled, and the job with it
	dependencyUnknown                          // one was never accepted
)

// dependencies reads the jobs that a job waits for, and those that these wait for,
// as far as they are open. That one is cancelled is never undone, so what is found
// holds for good. Not more than tuning.DependencyReads jobs are read: what lies
// beyond is left to the leader, which knows all open jobs.
func (u *Users) dependencies(ctx context.Context, refs []string) (dependencyState, error) {
	seen := map[string]bool{}
	for direct := true; len(refs) > 0; direct = false {
		level := unseen(refs, seen, tuning.DependencyReads)
		refs = nil
		for _, f := range u.findAll(ctx, level) {
			switch {
			case errors.Is(f.err, errUnreadable):
				u.Log.Error("dependency", "err", f.err) // the job waits
			case f.err != nil:
				return dependencyOpen, f.err
			case f.job == nil && direct:
				return dependencyUnknown, nil
			case f.job == nil:
				u.Log.Error("dependency of a dependency without record") // the job waits
			case f.job.status.Phase == wire.PhaseCancelled:
				return dependencyCancelled, nil
			default:
				refs = append(refs, f.job.open.Job.Awaits...)
			}
		}
	}
	return dependencyOpen, nil
}

// unseen picks the jobs that were not seen yet, as long as not more than most have
// been in all, and marks them as seen.
func unseen(refs []string, seen map[string]bool, most int) []string {
	var out []string
	for _, ref := range refs {
		if !seen[ref] && len(seen) < most {
			seen[ref] = true
			out = append(out, ref)
		}
	}
	return out
}

// found is what a job was found to be, or why it could not be read.
type found struct {
	job *known
	err error
}

// findAll reads some jobs at the same time.
func (u *Users) findAll(ctx context.Context, refs []string) []found {
	out := make([]found, len(refs))
	var wg sync.WaitGroup
	for i, ref := range refs {
		wg.Go(func() { out[i].job, out[i].err = u.find(ctx, ref) })
	}
	wg.Wait()
	return out
}

// current reads a job as find does. If a job that it needs is cancelled, so is this
// one, and its own record says so before its user is told: then no controller can
// tell the user anything else, whatever it knows of the others.
func (u *Users) current(ctx context.Context, ref string) (*known, error) {
	k, err := u.find(ctx, ref)
	if err != nil || k == nil || k.open.Cancelled || len(k.open.Job.Awaits) == 0 || !u.dependencyCheckDue(ref) {
		return k, err
	}
	start := time.Now()
	state, err := u.dependencies(ctx, k.open.Job.Awaits)
	if err != nil {
		return nil, err
	}
	if state == dependencyCancelled {
		return k, u.markCancelled(ctx, k)
	}
	u.dependenciesChecked(ref, start)
	return k, nil
}

// dependencyCheckDue tells whether the last reading of a job's dependencies is too
// old to answer by: the leader closes the job soon after one is cancelled, and only
// if it cannot must others find out within cancel_s.
func (u *Users) dependencyCheckDue(ref string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	every := u.Config.Deployment.Workers.CancelS * tuning.DependencyCheckShare
	return time.Since(u.checks[ref]) > time.Duration(every*float64(time.Second))
}

func (u *Users) dependenciesChecked(ref string, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.checks) >= tuning.FinalCache {
		clear(u.checks)
	}
	u.checks[ref] = at
}
