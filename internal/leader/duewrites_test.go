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
		over, busy := c.jobs["req-000000"], c.jobs["req-000001"]
		dropAll(now, over, busy)
		over.segment(0).version, busy.segment(0).version = 1, 1
		over.doneCount = over.spec.Tasks
		c.writeLimiter.AllowN(now, c.writeLimiter.Burst())
		closed := func() bool {
			return c.batchInFlight != nil && slices.ContainsFunc(c.batchInFlight.closed, func(cl jobClosing) bool { return cl.job == over })
		}
		refill := time.Duration(float64(time.Second) / float64(c.writeLimiter.Limit()))
		for task := 0; !closed(); task++ {
			if task > c.Store.MaxMutations() {
				t.Fatalf("not closed when %d changes could have been written", task)
			}
			c.batchInFlight = nil
			now = now.Add(refill)
			c.markDirty(busy, 0, true, now)
			c.commit(now)
		}
		c.batchInFlight = nil
		c.writeLimiter.AllowN(now, int(c.writeLimiter.TokensAt(now)))
		busy.spec.Priority = protocol.PriorityProduction
		now = now.Add(refill)
		c.markDirty(busy, 0, true, now)
		if c.commit(now); c.batchInFlight == nil || len(c.batchInFlight.segments) != 1 {
			t.Error("a start of production waits for the budget of other writes")
		}
	})
}
