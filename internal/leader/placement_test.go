package leader

import (
	"testing"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
)

// A job with an unreadable segment of its run record backs off until all tasks that the
// segment may name have ended. Failures of tasks that other segments name must not shorten
// this backoff.
func TestBackoffIsNotShortened(t *testing.T) {
	leader, now := newLoadedLeader(1, 1)
	job, machine := leader.jobs.open["req-000000"], leader.machines.byID["m-000000"]
	until := now.Add(time.Hour)
	job.recordUnreadable = true
	job.backOff(until)
	for _, reason := range []protocol.ExitReason{protocol.ExitError, protocol.ExitUnknownTask} {
		for _, placement := range machine.Placements {
			leader.endPlacements([]cluster.EndedPlacement{{Placement: placement, ExitReason: reason}}, now)
			break
		}
	}
	if !job.backoffUntil.Equal(until) {
		t.Errorf("a backoff of an hour became one of %v", job.backoffUntil.Sub(now))
	}
}
