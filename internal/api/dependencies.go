package api

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
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
// undone, so it holds for good. The time is zero if not all could be looked at: what is
// left out is read for the next answer, and the leader knows all open jobs.
func (u *Users) dependencies(ctx context.Context, jobIDs []protocol.JobID) (state dependencyState, asOf time.Time, err error) {
	w := &dependencyWalk{Users: u, asOf: time.Now(), seen: map[protocol.JobID]bool{}}
	for direct := true; len(jobIDs) > 0; direct = false {
		jobs, err := w.findLevel(ctx, jobIDs)
		if err != nil {
			return dependencyOpen, w.asOf, err
		}
		// Whether all were accepted comes first: that one of them is cancelled says
		// nothing of the others.
		if direct && slices.ContainsFunc(jobs, lookupResult.neverAccepted) {
			return dependencyUnknown, w.asOf, nil
		}
		jobIDs = nil
		for _, f := range jobs {
			cancelled, err := w.visit(f)
			switch {
			case err != nil:
				return dependencyOpen, w.asOf, err
			case cancelled:
				return dependencyCancelled, w.asOf, nil
			case f.isOpen():
				jobIDs = append(jobIDs, f.job.open.Job.DependsOn...)
			}
		}
	}
	if w.incomplete {
		return dependencyOpen, time.Time{}, nil
	}
	for _, jobID := range w.open {
		u.confirmOpen(jobID, w.asOf)
	}
	return dependencyOpen, w.asOf, nil
}

// dependencyWalk goes through the jobs that a job needs, level by level.
type dependencyWalk struct {
	*Users
	asOf        time.Time               // what is found holds for this time
	seen        map[protocol.JobID]bool // jobs that were met
	open        []protocol.JobID        // of them, those that are open
	singleReads int                     // jobs that were read one by one
	incomplete  bool                    // not all that is over could be read
}

// findLevel finds the jobs among those named that were not met before and that this
// node does not know to be open. Few are read one by one, more all at once; what is not
// open then is read one by one again, not more than tuning.DependencyReads for an
// answer, and remembered.
func (w *dependencyWalk) findLevel(ctx context.Context, jobIDs []protocol.JobID) ([]lookupResult, error) {
	level := w.unseen(jobIDs)
	listing, ok := w.openJobReads.latestValid()
	out, left := w.findListed(level, listing, ok)
	if len(left) > 0 && !ok && !w.openJobReads.allowSingleReads(len(left)) {
		listing, err := w.openJobReads.read(ctx)
		if err != nil {
			return nil, err
		}
		var listed []lookupResult
		listed, left = w.findListed(left, listing, true)
		out = append(out, listed...)
	}
	if most := max(0, tuning.DependencyReads-w.singleReads); len(left) > most {
		left, w.incomplete = left[:most], true
	}
	w.singleReads += len(left)
	return append(out, w.findAll(ctx, left)...), nil
}

// unseen picks the jobs that were not met before and that are not known to be open.
func (w *dependencyWalk) unseen(jobIDs []protocol.JobID) (out []protocol.JobID) {
	for _, jobID := range jobIDs {
		if w.seen[jobID] {
			continue
		}
		w.seen[jobID] = true
		if at, ok := w.openAsOf(jobID); !ok {
			out = append(out, jobID)
		} else if at.Before(w.asOf) {
			w.asOf = at
		}
	}
	return out
}

// findListed finds jobs without a request, in what is remembered of those that are over
// and in a reading of the open ones, and returns which are left.
func (w *dependencyWalk) findListed(jobIDs []protocol.JobID, listing jobListing, reliable bool) (out []lookupResult, left []protocol.JobID) {
	for _, jobID := range jobIDs {
		open, listed := listing.jobs[jobID]
		switch status, over := w.finalStatus(jobID); {
		case over:
			out = append(out, lookupResult{jobID: jobID, job: &jobRecord{status: status}})
		case reliable && listed:
			out = append(out, lookupResult{jobID: jobID, job: &jobRecord{version: openVersion, open: open, status: openStatus(jobID, &open)}})
			if listing.asOf.Before(w.asOf) {
				w.asOf = listing.asOf
			}
		default:
			left = append(left, jobID)
		}
	}
	return out, left
}

// visit draws the conclusions from a job that was found.
func (w *dependencyWalk) visit(f lookupResult) (cancelled bool, err error) {
	switch {
	case errors.Is(f.err, errUnreadable):
		w.Log.Error("dependency", "err", f.err) // the job waits
	case f.err != nil:
		return false, f.err
	case f.job == nil:
		w.Log.Error("dependency of a dependency without record", "job", f.jobID) // the job waits
	case f.job.status.Phase == protocol.PhaseCancelled:
		return true, nil
	case f.isOpen():
		w.open = append(w.open, f.jobID)
	}
	return false, nil
}

// openVersion stands for the version of an open record that was read only to be known.
const openVersion = 1

// openStatus is the phase of an open job, as far as its own record says.
func openStatus(jobID protocol.JobID, open *records.OpenJob) protocol.JobStatus {
	status := protocol.JobStatus{ID: jobID, Phase: protocol.PhaseQueued}
	if open.Cancelled {
		status.Phase = protocol.PhaseCancelled
	}
	return status
}

// lookupResult is what a job was found to be, or why it could not be read.
type lookupResult struct {
	jobID protocol.JobID
	job   *jobRecord
	err   error
}

func (f lookupResult) isOpen() bool { return f.job != nil && f.job.version != 0 }

func (f lookupResult) neverAccepted() bool { return f.err == nil && f.job == nil }

// findAll reads some jobs at the same time.
func (u *Users) findAll(ctx context.Context, jobIDs []protocol.JobID) []lookupResult {
	out := make([]lookupResult, len(jobIDs))
	var wg sync.WaitGroup
	for i, jobID := range jobIDs {
		out[i].jobID = jobID
		wg.Go(func() { out[i].job, out[i].err = u.find(ctx, jobID) })
	}
	wg.Wait()
	return out
}

// current reads a job as find does. If a job that it needs is cancelled, so is this
// one, and its own record says so before its user is told: then no controller can
// tell the user anything else, whatever it knows of the others.
func (u *Users) current(ctx context.Context, jobID protocol.JobID) (*jobRecord, error) {
	start := time.Now()
	record, err := u.find(ctx, jobID)
	if err != nil || record == nil || record.version == 0 || record.open.Cancelled {
		return record, err
	}
	if len(record.open.Job.DependsOn) == 0 {
		u.confirmOpen(jobID, start)
		return record, nil
	}
	if _, ok := u.openAsOf(jobID); ok {
		return record, nil
	}
	state, asOf, err := u.dependencies(ctx, record.open.Job.DependsOn)
	if err != nil {
		return nil, err
	}
	if state == dependencyCancelled {
		return record, u.markCancelled(ctx, record)
	}
	u.confirmOpen(jobID, asOf)
	return record, nil
}

// confirmOpen remembers that at some time a job was accepted, and neither it nor any
// that it needs was cancelled.
func (u *Users) confirmOpen(jobID protocol.JobID, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.confirmedOpen) >= tuning.FinalCache {
		clear(u.confirmedOpen)
	}
	u.confirmedOpen[jobID] = at
}

// openAsOf returns when that was last known, if it may still be answered by: the
// leader closes a job soon after one that it needs is cancelled, and only if it cannot
// must others find out within cancel_s.
func (u *Users) openAsOf(jobID protocol.JobID) (at time.Time, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	at = u.confirmedOpen[jobID]
	return at, time.Since(at) < dependencyCheck(u.Config)
}

// dependencyCheck is how long a node relies on what it knows of the jobs that others
// wait for.
func dependencyCheck(c *config.Config) time.Duration {
	return c.Deployment.Workers.CancellationShare(tuning.DependencyCheckShare)
}

// forgetOpen forgets that a job was open: its user is about to be told that it is
// cancelled.
func (u *Users) forgetOpen(jobID protocol.JobID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.confirmedOpen, jobID)
}
