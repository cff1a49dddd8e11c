package leader

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/protocol"
)

// Where starts take all of the write budget, a job whose tasks are done is closed all the
// same: closing takes several mutations, and starts, of one mutation each, once took every
// one of them as the budget was refilled, so that users were told of completed jobs a
// minute late. Starts of production are written as soon as the budget has a mutation.
func TestClosingIsNotStarvedByStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, now := newLoadedLeader(8, 2)
		defer withUnresponsiveStore(t, leader)()
		over, busy := leader.jobs.open["req-000000"], leader.jobs.open["req-000001"]
		removeAllPlacements(now, over, busy)
		over.segment(0).version, busy.segment(0).version = 1, 1
		over.doneCount = over.spec.Tasks
		leader.writer.limiter.AllowN(now, leader.writer.limiter.Burst())
		closed := func() bool {
			return leader.writer.inFlight != nil && slices.ContainsFunc(leader.writer.inFlight.closed, func(cl jobClosing) bool { return cl.job == over })
		}
		refill := time.Duration(float64(time.Second) / float64(leader.writer.limiter.Limit()))
		for task := 0; !closed(); task++ {
			if task > leader.Store.MaxMutations() {
				t.Fatalf("not closed when %d changes could have been written", task)
			}
			leader.writer.inFlight = nil
			now = now.Add(refill)
			leader.markDirty(busy, 0, true, now)
			leader.commit(now)
		}
		leader.writer.inFlight = nil
		leader.writer.limiter.AllowN(now, int(leader.writer.limiter.TokensAt(now)))
		busy.spec.Priority = protocol.PriorityProduction
		now = now.Add(refill)
		leader.markDirty(busy, 0, true, now)
		if leader.commit(now); leader.writer.inFlight == nil || len(leader.writer.inFlight.segments) != 1 {
			t.Error("a start of production waits for the budget of other writes")
		}
	})
}
