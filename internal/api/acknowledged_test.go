package api

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// The list must contain each job whose first acknowledgment is later than the time since
// which the list is complete. The test compares it with a record of all acknowledgments.
func TestAcknowledgedIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		acknowledged := newAcknowledgedCancellations(time.Now())
		firstAt := map[protocol.JobID]time.Time{}
		dropped := false
		for range 4 * tuning.AcknowledgedJobs {
			time.Sleep(time.Duration(1+rng.IntN(50)) * time.Millisecond)
			jobID := protocol.JobID(fmt.Sprint("req-", rng.IntN(2*tuning.AcknowledgedJobs)))
			if _, ok := firstAt[jobID]; !ok {
				firstAt[jobID] = time.Now()
			}
			acknowledged.add(jobID)
		}
		jobIDs, since := acknowledged.list()
		if len(jobIDs) > tuning.AcknowledgedJobs {
			t.Errorf("the list holds %d jobs, more than the limit of %d", len(jobIDs), tuning.AcknowledgedJobs)
		}
		for jobID, at := range firstAt {
			switch listed := slices.Contains(jobIDs, jobID); {
			case !listed && at.After(since):
				t.Errorf("%s, acknowledged %v after the time since which the list is complete, is missing", jobID, at.Sub(since))
			case !listed:
				dropped = true
			}
		}
		if !dropped {
			t.Error("no acknowledgment was dropped, so the limit was not tested")
		}
	})
}
