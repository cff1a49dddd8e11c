package leader

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/protocol"
)

// Where starts take all of the write budget, a job whose tasks are done is closed all the
// same: it takes several changes, and starts, of one change each, once took every one of
// them as the budget was refilled, so that users heard of completed jobs a minute late.
// Starts of production are written as soon as the budget has a change.
func TestClosingIsNotStarvedByStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, now := large(8, 2)
		defer withSilentStore(t, c)()
		over, busy := c.jobs.open["req-000000"], c.jobs.open["req-000001"]
		dropAll(now, over, busy)
		over.segment(0).version, busy.segment(0).version = 1, 1
		over.doneCount = over.spec.Tasks
		c.writer.limiter.AllowN(now, c.writer.limiter.Burst())
		closed := func() bool {
			return c.writer.inFlight != nil && slices.ContainsFunc(c.writer.inFlight.closed, func(cl jobClosing) bool { return cl.job == over })
		}
		refill := time.Duration(float64(time.Second) / float64(c.writer.limiter.Limit()))
		for task := 0; !closed(); task++ {
			if task > c.Store.MaxMutations() {
				t.Fatalf("not closed when %d changes could have been written", task)
			}
			c.writer.inFlight = nil
			now = now.Add(refill)
			c.markDirty(busy, 0, true, now)
			c.commit(now)
		}
		c.writer.inFlight = nil
		c.writer.limiter.AllowN(now, int(c.writer.limiter.TokensAt(now)))
		busy.spec.Priority = protocol.PriorityProduction
		now = now.Add(refill)
		c.markDirty(busy, 0, true, now)
		if c.commit(now); c.writer.inFlight == nil || len(c.writer.inFlight.segments) != 1 {
			t.Error("a start of production waits for the budget of other writes")
		}
	})
}
