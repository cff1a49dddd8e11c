package leader

import (
	"time"

	"marblehaven/internal/cluster"
)

// stopPlacement orders a placement to end.
func (c *Leader) stopPlacement(p *cluster.Placement, graceS float64, now time.Time) {
	if p.Stopping && p.GracePeriodS <= graceS {
		return
	}
	if !p.Recorded {
		c.withdrawPlacement(p, now) // its start was never sent
		return
	}
	p.Stopping, p.GracePeriodS, p.StopOrderedAt = true, graceS, now
	c.pendingDispatch[p.Machine] = true
	c.changed = true
}

// withdrawPlacement takes back a placement whose start was never sent.
func (c *Leader) withdrawPlacement(p *cluster.Placement, now time.Time) {
	c.changed = true
	p.Machine.RemovePlacement(p, now)
	if j := c.jobs[p.Job]; j != nil && j.placements[p.Task] == p {
		delete(j.placements, p.Task)
		j.requeueTask(p.Task)
		if p.Recorded {
			c.markDirty(j, p.Task, false, now)
		}
	}
}

func (c *Leader) cancelJob(j *jobState, now time.Time) {
	c.Log.Info("job cancelled", "job", j.id, "live", len(j.placements))
	j.cancelled = true
	c.changed = true
	for _, p := range j.placements {
		c.stopPlacement(p, 0, now)
	}
	c.cancelDependents(j.id, now)
}
