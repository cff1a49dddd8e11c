package leader

import (
	"time"

	"marblehaven/internal/cluster"
)

// stop orders a placement to end.
func (c *Controller) stop(p *cluster.Placement, graceS float64, now time.Time) {
	if p.Stopping && p.GracePeriodS <= graceS {
		return
	}
	if !p.Recorded {
		c.unplace(p, now) // its start was never sent
		return
	}
	p.Stopping, p.GracePeriodS, p.StopOrderedAt = true, graceS, now
	c.touched[p.Machine] = true
	c.changed = true
}

// unplace takes back a placement whose start was never sent.
func (c *Controller) unplace(p *cluster.Placement, now time.Time) {
	c.changed = true
	p.Machine.RemovePlacement(p, now)
	if j := c.jobs[p.Job]; j != nil && j.live[p.Task] == p {
		delete(j.live, p.Task)
		j.giveBack(p.Task)
		if p.Recorded {
			c.markDirty(j, p.Task, false, now)
		}
	}
}

func (c *Controller) cancelJob(j *job, now time.Time) {
	c.Log.Info("job cancelled", "job", j.ref, "live", len(j.live))
	j.cancelled = true
	c.changed = true
	for _, p := range j.live {
		c.stop(p, 0, now)
	}
	c.cancelDependents(j.ref, now)
}
