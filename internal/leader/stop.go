package leader

import (
	"time"

	"marblehaven/internal/cluster"
)

// stopPlacement orders a placement to end.
func (c *Leader) stopPlacement(placement *cluster.Placement, graceS float64, now time.Time) {
	if placement.Stopping && placement.GracePeriodS <= graceS {
		return
	}
	if !placement.Recorded {
		c.withdrawPlacement(placement, now) // its start was never sent
		return
	}
	placement.Stopping, placement.GracePeriodS, placement.StopOrderedAt = true, graceS, now
	c.dispatcher.pending[placement.Machine] = true
	c.cycle.needed = true
}

// withdrawPlacement takes back a placement whose start was never sent.
func (c *Leader) withdrawPlacement(placement *cluster.Placement, now time.Time) {
	c.cycle.needed = true
	placement.Machine.RemovePlacement(placement, now)
	if job := c.jobs.open[placement.Job]; job != nil && job.placements[placement.Task] == placement {
		delete(job.placements, placement.Task)
		job.requeueTask(placement.Task)
		if placement.Recorded {
			c.markDirty(job, placement.Task, false, now)
		}
	}
}

func (c *Leader) cancelJob(job *jobState, now time.Time) {
	c.Log.Info("job cancelled", "job", job.id, "live", len(job.placements))
	job.cancelled = true
	c.cycle.needed = true
	for _, placement := range job.placements {
		c.stopPlacement(placement, 0, now)
	}
	c.cancelDependents(job.id, now)
}
