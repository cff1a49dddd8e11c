package leader

import (
	"context"
	"errors"
	"slices"
	"time"

	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// dependencyOutcome is the final phase of a job that others depend on, from its record.
type dependencyOutcome struct {
	phase string
	at    time.Time // when it was closed; zero: not recorded
}

// addDependencies notes what a job that has become known waits for.
func (c *Leader) addDependencies(j *jobState, now time.Time) {
	for _, ref := range j.spec.DependsOn {
		if j.pendingDependencies == nil {
			j.pendingDependencies = map[string]bool{}
		}
		j.pendingDependencies[ref] = true
		c.dependents[ref] = append(c.dependents[ref], j.id)
	}
	for _, ref := range j.spec.DependsOn {
		if out, known := c.outcomes[ref]; known {
			c.resolveDependency(ref, out, now)
		} else if dependency := c.jobs[ref]; dependency != nil && dependency.cancelled {
			c.cancelDependents(ref, now)
		}
	}
}

// resolveDependency draws the conclusions from the final record of a job: those that wait for
// it go on, or are cancelled with it. Nothing else lets a job go on.
func (c *Leader) resolveDependency(ref string, out dependencyOutcome, now time.Time) {
	if len(c.outcomes) >= tuning.OutcomeCache {
		clear(c.outcomes) // they are read again where they are needed
	}
	c.outcomes[ref] = out
	if out.phase == protocol.PhaseCancelled {
		c.cancelDependents(ref, now)
		return
	}
	for _, name := range c.dependents[ref] {
		j := c.jobs[name]
		if j == nil {
			continue
		}
		delete(j.pendingDependencies, ref)
		if out.at.After(j.readyAt) {
			j.readyAt = out.at
		}
		c.changed = true
	}
	delete(c.dependents, ref)
}

// cancelDependents cancels all jobs that need the one named, directly or through
// others. None of them has begun, and none ever can.
func (c *Leader) cancelDependents(ref string, now time.Time) {
	work := []string{ref}
	for len(work) > 0 {
		names := c.dependents[work[0]]
		work = work[1:]
		for _, name := range names {
			j := c.jobs[name]
			if j == nil || j.cancelled {
				continue
			}
			c.Log.Info("job cancelled with one that it needs", "job", name)
			j.cancelled, c.changed = true, true
			work = append(work, name)
		}
	}
}

// dropDependent forgets what a job that is over was waiting for.
func (c *Leader) dropDependent(j *jobState) {
	for ref := range j.pendingDependencies {
		left := slices.DeleteFunc(c.dependents[ref], func(name string) bool { return name == j.id })
		if len(left) == 0 {
			delete(c.dependents, ref)
		} else {
			c.dependents[ref] = left
		}
	}
}

// lookUpDependencies reads the final records of dependencies that are not among the open jobs.
// One that is found neither there nor open is looked for again: its open record
// may have been missed, and that it is not known never means that it is done.
func (c *Leader) lookUpDependencies(now time.Time) {
	if c.lookingUp || now.Before(c.lookupAt) {
		return
	}
	var refs []string
	for ref := range c.dependents {
		_, known := c.outcomes[ref]
		if !known && c.jobs[ref] == nil && len(refs) < tuning.DependencyLookupBatch {
			refs = append(refs, ref)
		}
	}
	if len(refs) == 0 {
		return
	}
	c.lookingUp, c.lookupBegan, c.lookupAt = true, now, now.Add(tuning.DependencyLookupInterval)
	go func() { c.post(c.readDependencyOutcomes(c.ctx, refs)) }()
}

func (c *Leader) readDependencyOutcomes(ctx context.Context, refs []string) dependencyLookup {
	m := dependencyLookup{outcomes: map[string]dependencyOutcome{}}
	for _, ref := range refs {
		it, err := c.Store.Get(ctx, records.FinalKey(ref))
		if errors.Is(err, kvstore.ErrNotFound) {
			if it, err = c.Store.Get(ctx, records.OpenKey(ref)); err == nil {
				m.open = append(m.open, it)
			}
			continue
		}
		if err != nil {
			continue
		}
		var f records.FinalRecord
		if err := protocol.Unmarshal(it.Value, &f); err != nil {
			c.Log.Error("unreadable record of a dependency", "job", ref, "err", err)
			continue
		}
		out := dependencyOutcome{phase: f.Phase}
		if f.ClosedMS > 0 {
			out.at = time.UnixMilli(f.ClosedMS)
		}
		m.outcomes[ref] = out
	}
	return m
}

func (c *Leader) onDependencyLookup(m dependencyLookup, now time.Time) {
	c.lookingUp = false
	for _, it := range m.open {
		c.applyOpenRecord(it.Key, it.Value, it.Version, now)
	}
	for ref, out := range m.outcomes {
		c.resolveDependency(ref, out, now)
	}
}
