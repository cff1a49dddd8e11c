package leader

import (
	"testing"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
)

// A job of whose run record a part can't be read rests until what that may have named is
// surely over, whatever becomes of the tasks that the rest names.
func TestRestIsNotShortened(t *testing.T) {
	c, now := large(1, 1)
	job, machine := c.jobs.open["req-000000"], c.machines.byID["m-000000"]
	until := now.Add(time.Hour)
	job.recordUnreadable = true
	job.backOff(until)
	for _, cause := range []protocol.ExitReason{protocol.ExitError, protocol.ExitUnknownTask} {
		for _, placement := range machine.Placements {
			c.endPlacements([]cluster.EndedPlacement{{Placement: placement, ExitReason: cause}}, now)
			break
		}
	}
	if !job.backoffUntil.Equal(until) {
		t.Errorf("a rest of an hour became one of %v", job.backoffUntil.Sub(now))
	}
}
