package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/httpclient"
	"marblehaven/internal/kvstore"
)

// withSilentStore gives a leader a state service that never answers, so that a commit
// stays under way. The returned function ends its calls.
func withSilentStore(t *testing.T, c *Leader) (end func()) {
	t.Helper()
	c.Store = kvstore.New("state:1", &calls{}, httpclient.NewMalformedLog(c.Log), c.Config.Deployment.State)
	ctx, cancel := context.WithCancel(t.Context())
	c.Bind(ctx)
	return func() {
		cancel()
		synctest.Wait()
	}
}

// dropAll takes everything of some jobs off its machines.
func dropAll(now time.Time, jobs ...*jobState) {
	for _, job := range jobs {
		for _, placement := range job.placements {
			placement.Machine.RemovePlacement(placement, now)
		}
		clear(job.placements)
	}
}
