package api

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// dependencyState is the combined state of a job's dependencies.
type dependencyState int

const (
	dependencyOpen      dependencyState = iota // all were accepted, and none is cancelled
	dependencyCancelled                        // at least one is cancelled, which cancels the job too
	dependencyUnknown                          // at least one direct dependency was never accepted
)

// resolution is the state of a job's dependencies and the time for which it holds.
type resolution struct {
	state dependencyState
	// asOf is the time for which dependencyOpen holds. It is zero if the limit on reads
	// left some dependencies out, so that the job does not count as confirmed open and the
	// next reply reads these dependencies. The leader, which has all open jobs in memory,
	// detects a cancelled one among them as well. The other states need no time: a
	// cancellation is never undone, and dependencyUnknown is not cached.
	asOf time.Time
}

// dependencyResolver determines the state of a job's dependencies: the direct ones and,
// through those that are open, the indirect ones. Jobs that were recently confirmed open
// are not read again. It is safe for concurrent use.
type dependencyResolver struct {
	reader    *jobReader
	listings  *openJobListings
	confirmed *confirmedOpenJobs
	log       *slog.Logger
}

// resolve returns the state of the dependencies of a job whose direct dependencies are
// jobIDs. It looks them up level by level, the direct ones first.
func (d *dependencyResolver) resolve(ctx context.Context, jobIDs []protocol.JobID) (resolution, error) {
	walk := &dependencyWalk{dependencyResolver: d, asOf: time.Now(), seen: map[protocol.JobID]bool{}}
	for direct := true; len(jobIDs) > 0; direct = false {
		jobs, err := walk.lookUpLevel(ctx, jobIDs)
		if err != nil {
			return resolution{}, err
		}
		// An unknown dependency takes precedence over a cancelled one: a cancelled
		// dependency does not show that the others were accepted, and a submission that
		// names a job that was never accepted must be rejected.
		if direct && slices.ContainsFunc(jobs, lookupResult.neverAccepted) {
			return resolution{state: dependencyUnknown}, nil
		}
		cancelled, next, err := walk.visitLevel(jobs)
		if err != nil {
			return resolution{}, err
		}
		if cancelled {
			return resolution{state: dependencyCancelled}, nil
		}
		jobIDs = next
	}
	if walk.incomplete {
		return resolution{state: dependencyOpen}, nil
	}
	for _, jobID := range walk.open {
		d.confirmed.confirm(jobID, walk.asOf)
	}
	return resolution{state: dependencyOpen, asOf: walk.asOf}, nil
}

// dependencyWalk is one breadth-first traversal of the dependencies of a job.
type dependencyWalk struct {
	*dependencyResolver
	asOf        time.Time               // the time for which all results of the walk hold
	seen        map[protocol.JobID]bool // the jobs that were visited or will be
	open        []protocol.JobID        // the open jobs that were visited
	singleReads int                     // the number of jobs that were read one by one
	incomplete  bool                    // lookUpLevel left out jobs beyond its limit on reads
}

// lookUpLevel looks up jobs, except those that the walk has seen before or that are
// confirmed open. A few jobs are read one by one; for more, all open jobs are listed at
// once. Jobs that are not in the listing are read one by one, at most
// tuning.DependencyReads in a walk, and their final statuses are cached.
func (walk *dependencyWalk) lookUpLevel(ctx context.Context, jobIDs []protocol.JobID) ([]lookupResult, error) {
	unseen := walk.markUnseen(jobIDs)
	listing, valid := walk.listings.latestValid()
	results, remaining := walk.lookUpListed(unseen, listing, valid)
	if len(remaining) > 0 && !valid && !walk.listings.allowSingleReads(len(remaining)) {
		listing, err := walk.listings.read(ctx)
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
	return append(results, walk.reader.readAll(ctx, remaining)...), nil
}

// markUnseen returns the jobs that the walk has not seen before and that are not
// confirmed open, and marks all as seen.
func (walk *dependencyWalk) markUnseen(jobIDs []protocol.JobID) (unseen []protocol.JobID) {
	for _, jobID := range jobIDs {
		if walk.seen[jobID] {
			continue
		}
		walk.seen[jobID] = true
		if confirmedAt, ok := walk.confirmed.lastConfirmation(jobID); ok {
			walk.limitAsOf(confirmedAt)
		} else {
			unseen = append(unseen, jobID)
		}
	}
	return unseen
}

// lookUpListed looks up jobs without a request to the key-value store: in the cached final
// statuses and, if valid is set, in a listing of the open jobs. The jobs that are in
// neither are returned as remaining.
func (walk *dependencyWalk) lookUpListed(jobIDs []protocol.JobID, listing jobListing, valid bool) (results []lookupResult, remaining []protocol.JobID) {
	for _, jobID := range jobIDs {
		open, listed := listing.jobs[jobID]
		switch status, final := walk.reader.finalStatuses.get(jobID); {
		case final:
			results = append(results, lookupResult{jobID: jobID, job: &jobRecord{status: status}})
		case valid && listed:
			results = append(results, lookupResult{jobID: jobID, job: listedJobRecord(jobID, &open)})
			walk.limitAsOf(listing.asOf)
		default:
			remaining = append(remaining, jobID)
		}
	}
	return results, remaining
}

// limitAsOf sets the time of the walk to that of one of its results, if that is earlier.
func (walk *dependencyWalk) limitAsOf(at time.Time) {
	if at.Before(walk.asOf) {
		walk.asOf = at
	}
}

// visitLevel visits the jobs of a level. It returns whether one of them is cancelled and,
// as the next level, the dependencies of the open ones.
func (walk *dependencyWalk) visitLevel(jobs []lookupResult) (cancelled bool, next []protocol.JobID, err error) {
	for _, result := range jobs {
		cancelled, err := walk.visit(result)
		if err != nil || cancelled {
			return cancelled, nil, err
		}
		if result.isOpen() {
			next = append(next, result.job.open.Job.DependsOn...)
		}
	}
	return false, next, nil
}

// visit reports whether a job is cancelled, and collects the job if it is open. A job whose
// record is missing or cannot be decoded is logged and counts as neither cancelled nor an
// error: the job that depends on it waits.
func (walk *dependencyWalk) visit(result lookupResult) (cancelled bool, err error) {
	switch {
	case errors.Is(result.err, errUnreadable):
		walk.log.Error("record of a dependency cannot be decoded, the dependent job waits", "job", result.jobID, "err", result.err)
	case result.err != nil:
		return false, result.err
	case result.job == nil:
		walk.log.Error("dependency has no record, the dependent job waits", "job", result.jobID)
	case result.job.status.Phase == protocol.PhaseCancelled:
		return true, nil
	case result.isOpen():
		walk.open = append(walk.open, result.jobID)
	}
	return false, nil
}
