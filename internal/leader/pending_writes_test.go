package leader

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/protocol"
)

// A job whose tasks are done is closed even if starts could use all of the write budget.
// Closing takes several mutations and a start only one. If starts took every mutation as
// soon as the budget is refilled, users would see completed jobs a minute late.
// Starts of production jobs are written as soon as the budget has one mutation.
func TestClosingIsNotStarvedByStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, now := newLoadedLeader(8, 2)
		defer withUnresponsiveStore(t, leader)()
		finished, active := leader.jobs.open["req-000000"], leader.jobs.open["req-000001"]
		removeAllPlacements(now, finished, active)
		finished.segment(0).version, active.segment(0).version = 1, 1
		finished.doneCount = finished.spec.Tasks
		leader.writer.limiter.AllowN(now, leader.writer.limiter.Burst())
		closed := func() bool {
			return leader.writer.inFlight != nil && slices.ContainsFunc(leader.writer.inFlight.closed, func(closing jobClosing) bool { return closing.job == finished })
		}
		refill := time.Duration(float64(time.Second) / float64(leader.writer.limiter.Limit()))
		for task := 0; !closed(); task++ {
			if task > leader.Store.MaxMutations() {
				t.Fatalf("the job is not closed after a write budget of %d mutations", task)
			}
			leader.writer.inFlight = nil
			now = now.Add(refill)
			leader.markDirty(active, 0, true, now)
			leader.commit(now)
		}
		leader.writer.inFlight = nil
		leader.writer.limiter.AllowN(now, int(leader.writer.limiter.TokensAt(now)))
		active.spec.Priority = protocol.PriorityProduction
		now = now.Add(refill)
		leader.markDirty(active, 0, true, now)
		if leader.commit(now); leader.writer.inFlight == nil || len(leader.writer.inFlight.segments) != 1 {
			t.Error("a start of a production job waits for the budget of other writes")
		}
	})
}
