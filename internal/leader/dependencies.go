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

// dependencyOutcome is the final phase of a job that others depend on, from its record.
type dependencyOutcome struct {
	phase protocol.JobPhase
	at    time.Time // when it was closed; zero: not recorded
}

// addDependencies notes what a job that has become known waits for.
func (c *Leader) addDependencies(job *jobState, now time.Time) {
	for _, jobID := range job.spec.DependsOn {
		if job.pendingDependencies == nil {
			job.pendingDependencies = map[protocol.JobID]bool{}
		}
		job.pendingDependencies[jobID] = true
		c.dependencies.dependents[jobID] = append(c.dependencies.dependents[jobID], job.id)
	}
	for _, jobID := range job.spec.DependsOn {
		if out, known := c.dependencies.outcomes[jobID]; known {
			c.resolveDependency(jobID, out, now)
		} else if dependency := c.jobs.open[jobID]; dependency != nil && dependency.cancelled {
			c.cancelDependents(jobID, now)
		}
	}
}

// resolveDependency draws the conclusions from the final record of a job: those that wait for
// it go on, or are cancelled with it. Nothing else lets a job go on.
func (c *Leader) resolveDependency(jobID protocol.JobID, out dependencyOutcome, now time.Time) {
	if len(c.dependencies.outcomes) >= tuning.OutcomeCache {
		clear(c.dependencies.outcomes) // they are read again where they are needed
	}
	c.dependencies.outcomes[jobID] = out
	if out.phase == protocol.PhaseCancelled {
		c.cancelDependents(jobID, now)
		return
	}
	for _, name := range c.dependencies.dependents[jobID] {
		job := c.jobs.open[name]
		if job == nil {
			continue
		}
		delete(job.pendingDependencies, jobID)
		if out.at.After(job.readyAt) {
			job.readyAt = out.at
		}
		c.cycle.needed = true
	}
	delete(c.dependencies.dependents, jobID)
}

// cancelDependents cancels all jobs that need the one named, directly or through
// others. None of them has begun, and none ever can.
func (c *Leader) cancelDependents(jobID protocol.JobID, now time.Time) {
	work := []protocol.JobID{jobID}
	for len(work) > 0 {
		names := c.dependencies.dependents[work[0]]
		work = work[1:]
		for _, name := range names {
			job := c.jobs.open[name]
			if job == nil || job.cancelled {
				continue
			}
			c.Log.Info("job cancelled with one that it needs", "job", name)
			job.cancelled, c.cycle.needed = true, true
			work = append(work, name)
		}
	}
}

// dropDependent forgets what a job that is over was waiting for.
func (c *Leader) dropDependent(job *jobState) {
	for jobID := range job.pendingDependencies {
		left := slices.DeleteFunc(c.dependencies.dependents[jobID], func(name protocol.JobID) bool { return name == job.id })
		if len(left) == 0 {
			delete(c.dependencies.dependents, jobID)
		} else {
			c.dependencies.dependents[jobID] = left
		}
	}
}

// lookUpDependencies reads the final records of dependencies that are not among the open jobs.
// One that is found neither there nor open is looked for again: its open record
// may have been missed, and that it is not known never means that it is done.
func (c *Leader) lookUpDependencies(now time.Time) {
	if c.dependencies.lookupInFlight || now.Before(c.dependencies.nextLookup) {
		return
	}
	var jobIDs []protocol.JobID
	for jobID := range c.dependencies.dependents {
		_, known := c.dependencies.outcomes[jobID]
		if !known && c.jobs.open[jobID] == nil && len(jobIDs) < tuning.DependencyLookupBatch {
			jobIDs = append(jobIDs, jobID)
		}
	}
	if len(jobIDs) == 0 {
		return
	}
	c.dependencies.lookupInFlight, c.dependencies.lookupBegan, c.dependencies.nextLookup = true, now, now.Add(tuning.DependencyLookupInterval)
	go func() { c.post(c.readDependencyOutcomes(c.ctx, jobIDs)) }()
}

func (c *Leader) readDependencyOutcomes(ctx context.Context, jobIDs []protocol.JobID) dependencyLookup {
	m := dependencyLookup{outcomes: map[protocol.JobID]dependencyOutcome{}}
	for _, jobID := range jobIDs {
		entry, err := c.Store.Get(ctx, records.FinalKey(jobID))
		if errors.Is(err, kvstore.ErrNotFound) {
			if entry, err = c.Store.Get(ctx, records.OpenKey(jobID)); err == nil {
				m.open = append(m.open, entry)
			}
			continue
		}
		if err != nil {
			continue
		}
		var f records.FinalRecord
		if err := codec.Unmarshal(entry.Value, &f); err != nil {
			c.Log.Error("unreadable record of a dependency", "job", jobID, "err", err)
			continue
		}
		out := dependencyOutcome{phase: f.Phase}
		if f.ClosedMS > 0 {
			out.at = time.UnixMilli(f.ClosedMS)
		}
		m.outcomes[jobID] = out
	}
	return m
}

func (c *Leader) onDependencyLookup(m dependencyLookup, now time.Time) {
	c.dependencies.lookupInFlight = false
	for _, entry := range m.open {
		c.applyOpenRecord(entry.Key, entry.Value, entry.Version, now)
	}
	for jobID, out := range m.outcomes {
		c.resolveDependency(jobID, out, now)
	}
}
