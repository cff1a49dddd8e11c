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

// dependencyState is what the dependencies of a job mean for it.
type dependencyState int

const (
	dependencyOpen      dependencyState = iota // all were accepted, and none is cancelled
	dependencyCancelled                        // one is cancelled, and the job with it
	dependencyUnknown                          // one was never accepted
)

// resolution is the state of a job's dependencies.
type resolution struct {
	state dependencyState
	// asOf is the time for which an open state holds. It is zero if not all
	// dependencies could be read: the rest is read for the next reply, and the leader
	// knows all open jobs. That one is cancelled is never undone, so it holds for good.
	asOf time.Time
}

// dependencyResolver resolves the dependencies of a job: the direct ones, and as far as
// these are open, the indirect ones. Jobs that were recently confirmed open are not read
// again. It is safe for concurrent use.
type dependencyResolver struct {
	reader    *jobReader
	listings  *openJobListings
	confirmed *confirmedOpenJobs
	log       *slog.Logger
}

// resolve resolves the named direct dependencies of a job, level by level.
func (d *dependencyResolver) resolve(ctx context.Context, jobIDs []protocol.JobID) (resolution, error) {
	walk := &dependencyWalk{dependencyResolver: d, asOf: time.Now(), seen: map[protocol.JobID]bool{}}
	for direct := true; len(jobIDs) > 0; direct = false {
		jobs, err := walk.lookUpLevel(ctx, jobIDs)
		if err != nil {
			return resolution{}, err
		}
		// An unknown dependency comes before a cancelled one: that one of them is
		// cancelled does not tell whether the others were accepted.
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

// dependencyWalk is one walk through the dependencies of a job, breadth first.
type dependencyWalk struct {
	*dependencyResolver
	asOf        time.Time               // the time for which all results hold
	seen        map[protocol.JobID]bool // the jobs visited or about to be
	open        []protocol.JobID        // the open jobs among them
	singleReads int                     // the jobs that were read one by one
	incomplete  bool                    // some jobs were left out, see lookUpLevel
}

// lookUpLevel looks up the named jobs, except those that were seen before or are
// confirmed open. A few are read one by one; for more, all open jobs are listed at once.
// Jobs that the listing lacks are read one by one again, not more than
// tuning.DependencyReads in a walk; their final statuses are cached.
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

// lookUpListed looks up jobs without a request, in the cached final statuses and in a
// listing of the open jobs if that is valid. It returns the jobs that are in neither.
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

// limitAsOf notes that a result holds for the given time only.
func (walk *dependencyWalk) limitAsOf(at time.Time) {
	if at.Before(walk.asOf) {
		walk.asOf = at
	}
}

// visitLevel draws the conclusions from the jobs of a level and returns the dependencies
// of those that are open, which are the next level.
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

// visit draws the conclusions from one job. A job without a readable record is neither
// cancelled nor an error: the job that depends on it waits.
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
