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

// Whoever trusts the list takes a job that is not in it for one that no user was
// told of since the time it names: compared with a list of everything.
func TestAcknowledgedIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		a := newAcknowledgedCancellations(time.Now())
		first := map[protocol.JobID]time.Time{}
		dropped := false
		for range 4 * tuning.AcknowledgedJobs {
			time.Sleep(time.Duration(1+rng.IntN(50)) * time.Millisecond)
			jobID := protocol.JobID(fmt.Sprint("req-", rng.IntN(2*tuning.AcknowledgedJobs)))
			if _, ok := first[jobID]; !ok {
				first[jobID] = time.Now()
			}
			a.add(jobID)
		}
		jobIDs, since := a.list()
		if len(jobIDs) > tuning.AcknowledgedJobs {
			t.Errorf("%d jobs are remembered", len(jobIDs))
		}
		for jobID, at := range first {
			switch has := slices.Contains(jobIDs, jobID); {
			case !has && at.After(since):
				t.Errorf("%s, told %v after the list begins, is missing", jobID, at.Sub(since))
			case !has:
				dropped = true
			}
		}
		if !dropped {
			t.Error("nothing was dropped, so nothing was tested")
		}
	})
}
