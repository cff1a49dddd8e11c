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
	walk := &dependencyWalk{Users: u, asOf: time.Now(), seen: map[protocol.JobID]bool{}}
	for direct := true; len(jobIDs) > 0; direct = false {
		jobs, err := walk.lookUpLevel(ctx, jobIDs)
		if err != nil {
			return dependencyOpen, walk.asOf, err
		}
		// Whether all were accepted comes first: that one of them is cancelled says
		// nothing of the others.
		if direct && slices.ContainsFunc(jobs, lookupResult.neverAccepted) {
			return dependencyUnknown, walk.asOf, nil
		}
		jobIDs = nil
		for _, result := range jobs {
			cancelled, err := walk.visit(result)
			switch {
			case err != nil:
				return dependencyOpen, walk.asOf, err
			case cancelled:
				return dependencyCancelled, walk.asOf, nil
			case result.isOpen():
				jobIDs = append(jobIDs, result.job.open.Job.DependsOn...)
			}
		}
	}
	if walk.incomplete {
		return dependencyOpen, time.Time{}, nil
	}
	for _, jobID := range walk.open {
		u.confirmOpen(jobID, walk.asOf)
	}
	return dependencyOpen, walk.asOf, nil
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

// lookUpLevel finds the jobs among those named that were not met before and that this
// node does not know to be open. Few are read one by one, more all at once; what is not
// open then is read one by one again, not more than tuning.DependencyReads for an
// answer, and remembered.
func (walk *dependencyWalk) lookUpLevel(ctx context.Context, jobIDs []protocol.JobID) ([]lookupResult, error) {
	unseen := walk.markUnseen(jobIDs)
	listing, valid := walk.openJobReads.latestValid()
	results, remaining := walk.lookUpListed(unseen, listing, valid)
	if len(remaining) > 0 && !valid && !walk.openJobReads.allowSingleReads(len(remaining)) {
		listing, err := walk.openJobReads.read(ctx)
		if err != nil {
			return nil, err
		}
		var listed []lookupResult
		listed, remaining = walk.lookUpListed(remaining, listing, true)
		results = append(results, listed...)
	}
	if limit := max(0, tuning.DependencyReads-walk.singleReads); len(remaining) > limit {
		remaining, walk.incomplete = remaining[:limit], true
	}
	walk.singleReads += len(remaining)
	return append(results, walk.readAll(ctx, remaining)...), nil
}

// markUnseen picks the jobs that were not met before and that are not known to be open.
func (walk *dependencyWalk) markUnseen(jobIDs []protocol.JobID) (unseen []protocol.JobID) {
	for _, jobID := range jobIDs {
		if walk.seen[jobID] {
			continue
		}
		walk.seen[jobID] = true
		if at, ok := walk.openAsOf(jobID); !ok {
			unseen = append(unseen, jobID)
		} else if at.Before(walk.asOf) {
			walk.asOf = at
		}
	}
	return unseen
}

// lookUpListed finds jobs without a request, in what is remembered of those that are over
// and in a reading of the open ones, and returns which are left.
func (walk *dependencyWalk) lookUpListed(jobIDs []protocol.JobID, listing jobListing, valid bool) (results []lookupResult, remaining []protocol.JobID) {
	for _, jobID := range jobIDs {
		open, listed := listing.jobs[jobID]
		switch status, final := walk.finalStatus(jobID); {
		case final:
			results = append(results, lookupResult{jobID: jobID, job: &jobRecord{status: status}})
		case valid && listed:
			results = append(results, lookupResult{jobID: jobID, job: &jobRecord{version: openVersion, open: open, status: openStatus(jobID, &open)}})
			if listing.asOf.Before(walk.asOf) {
				walk.asOf = listing.asOf
			}
		default:
			remaining = append(remaining, jobID)
		}
	}
	return results, remaining
}

// visit draws the conclusions from a job that was found.
func (walk *dependencyWalk) visit(result lookupResult) (cancelled bool, err error) {
	switch {
	case errors.Is(result.err, errUnreadable):
		walk.Log.Error("dependency", "err", result.err) // the job waits
	case result.err != nil:
		return false, result.err
	case result.job == nil:
		walk.Log.Error("dependency of a dependency without record", "job", result.jobID) // the job waits
	case result.job.status.Phase == protocol.PhaseCancelled:
		return true, nil
	case result.isOpen():
		walk.open = append(walk.open, result.jobID)
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

func (r lookupResult) isOpen() bool { return r.job != nil && r.job.version != 0 }

func (r lookupResult) neverAccepted() bool { return r.err == nil && r.job == nil }

// readAll reads some jobs at the same time.
func (u *Users) readAll(ctx context.Context, jobIDs []protocol.JobID) []lookupResult {
	results := make([]lookupResult, len(jobIDs))
	var wg sync.WaitGroup
	for i, jobID := range jobIDs {
		results[i].jobID = jobID
		wg.Go(func() { results[i].job, results[i].err = u.readJob(ctx, jobID) })
	}
	wg.Wait()
	return results
}

// readCurrent reads a job as readJob does. If a job that it needs is cancelled, so is this
// one, and its own record says so before its user is told: then no controller can
// tell the user anything else, whatever it knows of the others.
func (u *Users) readCurrent(ctx context.Context, jobID protocol.JobID) (*jobRecord, error) {
	start := time.Now()
	record, err := u.readJob(ctx, jobID)
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
	return at, time.Since(at) < dependencyValidity(u.Config)
}

// dependencyValidity is how long a node relies on what it knows of the jobs that others
// wait for.
func dependencyValidity(cfg *config.Config) time.Duration {
	return cfg.Deployment.Workers.CancellationShare(tuning.DependencyCheckShare)
}

// forgetOpen forgets that a job was open: its user is about to be told that it is
// cancelled.
func (u *Users) forgetOpen(jobID protocol.JobID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.confirmedOpen, jobID)
}
