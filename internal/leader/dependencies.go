package leader

import (
	"context"
	"errors"
	"slices"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// dependencyTable records which jobs wait for which others, and the outcomes of those
// others as far as they were needed.
type dependencyTable struct {
	dependents map[protocol.JobID][]protocol.JobID  // by dependency: the jobs that wait for it
	outcomes   map[protocol.JobID]dependencyOutcome // by closed job
	// A lookup reads final records of dependencies. One is in flight at a time.
	lookupInFlight bool
	lookupBegan    time.Time // start of the lookup in flight
	nextLookup     time.Time // no lookup starts before this time
}

func newDependencyTable() dependencyTable {
	return dependencyTable{
		dependents: map[protocol.JobID][]protocol.JobID{},
		outcomes:   map[protocol.JobID]dependencyOutcome{},
	}
}

// dependencyOutcome is how a job that others depend on ended, according to its final
// record.
type dependencyOutcome struct {
	phase    protocol.JobPhase
	closedAt time.Time // zero: not recorded
}

// record stores the outcome of a job. A full table is emptied first: outcomes are read
// again from the store when they are needed.
func (t *dependencyTable) record(jobID protocol.JobID, outcome dependencyOutcome) {
	if len(t.outcomes) >= tuning.OutcomeCacheSize {
		clear(t.outcomes)
	}
	t.outcomes[jobID] = outcome
}

// removeDependent removes a closed job from the dependents of the jobs that it waited
// for.
func (t *dependencyTable) removeDependent(job *jobState) {
	for dependency := range job.pendingDependencies {
		others := slices.DeleteFunc(t.dependents[dependency], func(id protocol.JobID) bool { return id == job.id })
		if len(others) == 0 {
			delete(t.dependents, dependency)
		} else {
			t.dependents[dependency] = others
		}
	}
}

// addDependencies records which jobs a newly added job waits for.
func (l *Leader) addDependencies(job *jobState) {
	for _, dependency := range job.spec.DependsOn {
		if job.pendingDependencies == nil {
			job.pendingDependencies = map[protocol.JobID]bool{}
		}
		job.pendingDependencies[dependency] = true
		l.dependencies.dependents[dependency] = append(l.dependencies.dependents[dependency], job.id)
	}
	for _, dependency := range job.spec.DependsOn {
		if outcome, known := l.dependencies.outcomes[dependency]; known {
			l.resolveDependency(dependency, outcome)
		} else if open := l.jobs.open[dependency]; open != nil && open.cancelled {
			l.cancelDependents(dependency)
		}
	}
}

// resolveDependency applies the final record of a job: the jobs that depend on it no
// longer wait for it, or are cancelled with it. Nothing but a final record ends that
// wait.
func (l *Leader) resolveDependency(jobID protocol.JobID, outcome dependencyOutcome) {
	l.dependencies.record(jobID, outcome)
	if outcome.phase == protocol.PhaseCancelled {
		l.cancelDependents(jobID)
		return
	}
	for _, dependent := range l.dependencies.dependents[jobID] {
		job := l.jobs.open[dependent]
		if job == nil {
			continue
		}
		delete(job.pendingDependencies, jobID)
		if outcome.closedAt.After(job.readyAt) {
			job.readyAt = outcome.closedAt
		}
		l.cycle.request()
	}
	delete(l.dependencies.dependents, jobID)
}

// cancelDependents cancels all open jobs that depend on the given one, directly or
// through others. None of them has started, and none can start any more.
func (l *Leader) cancelDependents(jobID protocol.JobID) {
	queue := []protocol.JobID{jobID}
	for len(queue) > 0 {
		dependents := l.dependencies.dependents[queue[0]]
		queue = queue[1:]
		for _, dependent := range dependents {
			job := l.jobs.open[dependent]
			if job == nil || job.cancelled {
				continue
			}
			l.Log.Info("job cancelled because a dependency was cancelled", "job", dependent)
			job.cancelled = true
			l.cycle.request()
			queue = append(queue, dependent)
		}
	}
}

// dependencyLookup is the result of a lookup: the outcomes of closed jobs, and the open
// records of jobs that were missing from the job table.
type dependencyLookup struct {
	outcomes map[protocol.JobID]dependencyOutcome
	open     []protocol.KeyValue
}

// lookUpDependencies reads the final records of dependencies that are not among the open
// jobs. A dependency that is found neither closed nor open is looked up again: the leader
// may have missed its open record, and a missing record never means that the job is done.
func (l *Leader) lookUpDependencies(now time.Time) {
	if l.dependencies.lookupInFlight || now.Before(l.dependencies.nextLookup) {
		return
	}
	var jobIDs []protocol.JobID
	for jobID := range l.dependencies.dependents {
		_, known := l.dependencies.outcomes[jobID]
		if !known && l.jobs.open[jobID] == nil && len(jobIDs) < tuning.DependencyLookupBatch {
			jobIDs = append(jobIDs, jobID)
		}
	}
	if len(jobIDs) == 0 {
		return
	}
	l.dependencies.lookupInFlight = true
	l.dependencies.lookupBegan = now
	l.dependencies.nextLookup = now.Add(tuning.DependencyLookupInterval)
	go func() { l.post(l.readDependencies(l.ctx, jobIDs)) }()
}

func (l *Leader) readDependencies(ctx context.Context, jobIDs []protocol.JobID) dependencyLookup {
	lookup := dependencyLookup{outcomes: map[protocol.JobID]dependencyOutcome{}}
	for _, jobID := range jobIDs {
		entry, err := l.Store.Get(ctx, records.FinalKey(jobID))
		if errors.Is(err, kvstore.ErrNotFound) {
			if entry, err = l.Store.Get(ctx, records.OpenKey(jobID)); err == nil {
				lookup.open = append(lookup.open, entry)
			}
			continue
		}
		if err != nil {
			continue // the next lookup reads it again
		}
		var final records.FinalRecord
		if err := codec.Unmarshal(entry.Value, &final); err != nil {
			l.Log.Error("final record of a dependency cannot be decoded, its dependents keep waiting", "job", jobID, "err", err)
			continue
		}
		outcome := dependencyOutcome{phase: final.Phase}
		if final.ClosedMS > 0 {
			outcome.closedAt = time.UnixMilli(final.ClosedMS)
		}
		lookup.outcomes[jobID] = outcome
	}
	return lookup
}

func (d dependencyLookup) apply(leader *Leader, now time.Time) { leader.onDependencyLookup(d, now) }

func (l *Leader) onDependencyLookup(lookup dependencyLookup, now time.Time) {
	l.dependencies.lookupInFlight = false
	for _, entry := range lookup.open {
		l.applyOpenRecord(entry.Key, entry.Value, entry.Version, now)
	}
	for jobID, outcome := range lookup.outcomes {
		l.resolveDependency(jobID, outcome)
	}
}
