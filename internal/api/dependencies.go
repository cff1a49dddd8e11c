package api

import (
	"context"
	"errors"
	"slices"
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

// dependencies finds out about the jobs that a job waits for, and those that these
// wait for, as far as they are open, and returns the time that this is known for:
// what was read here shortly before is not read again. That one is cancelled is never
// undone, so it holds for good. Not more than tuning.DependencyReads jobs are read:
// what lies beyond is left to the leader, which knows all open jobs.
func (u *Users) dependencies(ctx context.Context, refs []string) (state dependencyState, asOf time.Time, err error) {
	asOf = time.Now()
	seen := map[string]bool{}
	var open []string
	for direct := true; len(refs) > 0; direct = false {
		var level []string
		for _, ref := range unseen(refs, seen, tuning.DependencyReads) {
			if at, ok := u.openAsOf(ref); !ok {
				level = append(level, ref)
			} else if at.Before(asOf) {
				asOf = at
			}
		}
		refs = nil
		jobs := u.findAll(ctx, level)
		// Whether all were accepted comes first: that one of them is cancelled says
		// nothing of the others.
		if direct && slices.ContainsFunc(jobs, found.neverAccepted) {
			return dependencyUnknown, asOf, nil
		}
		for i, f := range jobs {
			switch {
			case errors.Is(f.err, errUnreadable):
				u.Log.Error("dependency", "err", f.err) // the job waits
			case f.err != nil:
				return dependencyOpen, asOf, f.err
			case f.job == nil:
				u.Log.Error("dependency of a dependency without record", "job", level[i]) // the job waits
			case f.job.status.Phase == wire.PhaseCancelled:
				return dependencyCancelled, asOf, nil
			case f.job.ver != 0:
				open = append(open, level[i])
				refs = append(refs, f.job.open.Job.Awaits...)
			}
		}
	}
	if len(seen) < tuning.DependencyReads { // all were looked at
		for _, ref := range open {
			u.confirmOpen(ref, asOf)
		}
	}
	return dependencyOpen, asOf, nil
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

func (f found) neverAccepted() bool { return f.err == nil && f.job == nil }

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
	start := time.Now()
	k, err := u.find(ctx, ref)
	if err != nil || k == nil || k.ver == 0 || k.open.Cancelled {
		return k, err
	}
	if len(k.open.Job.Awaits) == 0 {
		u.confirmOpen(ref, start)
		return k, nil
	}
	if _, ok := u.openAsOf(ref); ok {
		return k, nil
	}
	state, asOf, err := u.dependencies(ctx, k.open.Job.Awaits)
	if err != nil {
		return nil, err
	}
	if state == dependencyCancelled {
		return k, u.markCancelled(ctx, k)
	}
	u.confirmOpen(ref, asOf)
	return k, nil
}

// confirmOpen remembers that at some time a job was accepted, and neither it nor any
// that it needs was cancelled.
func (u *Users) confirmOpen(ref string, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.open) >= tuning.FinalCache {
		clear(u.open)
	}
	u.open[ref] = at
}

// openAsOf returns when that was last known, if it may still be answered by: the
// leader closes a job soon after one that it needs is cancelled, and only if it cannot
// must others find out within cancel_s.
func (u *Users) openAsOf(ref string) (at time.Time, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	at = u.open[ref]
	lasts := u.Config.Deployment.Workers.CancelS * tuning.DependencyCheckShare
	return at, time.Since(at) < time.Duration(lasts*float64(time.Second))
}

// forgetOpen forgets that a job was open: its user is about to be told that it is
// cancelled.
func (u *Users) forgetOpen(ref string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.open, ref)
}
