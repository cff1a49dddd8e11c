package api

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/tuning"
)

// Whoever trusts the list takes a job that is not in it for one that no user was
// told of since the time it names: compared with a list of everything.
func TestAcknowledgedIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		a := newAcknowledgedJobs(time.Now())
		first := map[string]time.Time{}
		dropped := false
		for range 4 * tuning.AcknowledgedJobs {
			time.Sleep(time.Duration(1+rng.IntN(50)) * time.Millisecond)
			ref := fmt.Sprint("req-", rng.IntN(2*tuning.AcknowledgedJobs))
			if _, ok := first[ref]; !ok {
				first[ref] = time.Now()
			}
			a.add(ref)
		}
		refs, since := a.list()
		if len(refs) > tuning.AcknowledgedJobs {
			t.Errorf("%d jobs are remembered", len(refs))
		}
		for ref, at := range first {
			switch has := slices.Contains(refs, ref); {
			case !has && at.After(since):
				t.Errorf("%s, told %v after the list begins, is missing", ref, at.Sub(since))
			case !has:
				dropped = true
			}
		}
		if !dropped {
			t.Error("nothing was dropped, so nothing was tested")
		}
	})
}
