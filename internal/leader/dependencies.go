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

// outcome is the final phase of a job that others depend on, from its record.
type outcome struct {
	phase string
	at    time.Time // when it was closed; zero: not recorded
}

// addDependencies notes what a job that has become known waits for.
func (c *Controller) addDependencies(j *job, now time.Time) {
	for _, ref := range j.desc.DependsOn {
		if j.waitsFor == nil {
			j.waitsFor = map[string]bool{}
		}
		j.waitsFor[ref] = true
		c.dependents[ref] = append(c.dependents[ref], j.ref)
	}
	for _, ref := range j.desc.DependsOn {
		if out, known := c.outcomes[ref]; known {
			c.settle(ref, out, now)
		} else if dependency := c.jobs[ref]; dependency != nil && dependency.cancelled {
			c.cancelDependents(ref, now)
		}
	}
}

// settle draws the conclusions from the final record of a job: those that wait for
// it go on, or are cancelled with it. Nothing else lets a job go on.
func (c *Controller) settle(ref string, out outcome, now time.Time) {
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
		delete(j.waitsFor, ref)
		if out.at.After(j.readyAt) {
			j.readyAt = out.at
		}
		c.changed = true
	}
	delete(c.dependents, ref)
}

// cancelDependents cancels all jobs that need the one named, directly or through
// others. None of them has begun, and none ever can.
func (c *Controller) cancelDependents(ref string, now time.Time) {
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
func (c *Controller) dropDependent(j *job) {
	for ref := range j.waitsFor {
		left := slices.DeleteFunc(c.dependents[ref], func(name string) bool { return name == j.ref })
		if len(left) == 0 {
			delete(c.dependents, ref)
		} else {
			c.dependents[ref] = left
		}
	}
}

// lookUp reads the final records of dependencies that are not among the open jobs.
// One that is found neither there nor open is looked for again: its open record
// may have been missed, and that it is not known never means that it is done.
func (c *Controller) lookUp(now time.Time) {
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
	go func() { c.send(c.readOutcomes(c.ctx, refs)) }()
}

func (c *Controller) readOutcomes(ctx context.Context, refs []string) lookupMsg {
	m := lookupMsg{outcomes: map[string]outcome{}}
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
		out := outcome{phase: f.Phase}
		if f.ClosedMS > 0 {
			out.at = time.UnixMilli(f.ClosedMS)
		}
		m.outcomes[ref] = out
	}
	return m
}

func (c *Controller) onLookup(m lookupMsg, now time.Time) {
	c.lookingUp = false
	for _, it := range m.open {
		c.setOpen(it.Key, it.Value, it.Version, now)
	}
	for ref, out := range m.outcomes {
		c.settle(ref, out, now)
	}
}
