package server

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// runUpgrade plays a scenario that begins with the previous version on all controllers.
func runUpgrade(t *testing.T, seed uint64, scenario func(c *testCluster)) {
	runUpgradeIn(t, seed, controllerNames, largeArrayDeployment(), scenario)
}

func runUpgradeIn(t *testing.T, seed uint64, names []string, dep config.Deployment, scenario func(c *testCluster)) {
	runIn(t, seed, names, dep, func(c *testCluster) {
		c.restartAs(true, names...)
		c.env.Store.SetOnCommit(func(txn *protocol.Transaction) {
			c.checkPreconditions(txn)
			c.checkFormat(txn)
		})
		for _, key := range c.env.Store.Keys(records.PrefixNodeVersion) {
			c.env.Store.Remove(key)
		}
		c.env.Store.Remove(records.KeyClusterVersion)
		c.restartAs(true, names...)
		c.until("a node leads", time.Minute, func() bool { return c.leader() != "" })
		scenario(c)
	})
}

// restartAs restarts controllers as the previous or the present version.
func (c *testCluster) restartAs(previous bool, names ...string) {
	for _, name := range names {
		c.kill(name)
		c.mu.Lock()
		c.previous[name] = previous
		c.mu.Unlock()
		c.boot(name)
	}
}

// countFurtherSegments counts the segments of run records beyond the first of each job.
func (c *testCluster) countFurtherSegments() (n int) {
	for _, key := range c.env.Store.Keys(records.PrefixOpen) {
		if isFurtherSegment(key) {
			n++
		}
	}
	return n
}

// usesNewFormat tells whether the cluster uses the new version of the formats.
func (c *testCluster) usesNewFormat() bool {
	var v records.FormatVersion
	raw := c.env.Store.Value(records.KeyClusterVersion)
	return raw != nil && codec.Unmarshal(raw, &v) == nil && v.Format == records.FormatSegmented
}

func (c *testCluster) untilUpgraded(limit time.Duration) {
	c.t.Helper()
	c.until("the cluster uses the new format", limit, c.usesNewFormat)
}

// Controllers are upgraded one after the other while a large array runs, whose record
// is beyond the limits that come then. The array goes on, in segments that fit.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	runUpgrade(t, 70, func(c *testCluster) {
		c.submit(largeArray(1, 340), 30)
		c.submit(serviceJob(2, 3), 0)
		c.until("hundreds run", 4*time.Minute, func() bool { return len(c.env.MachinesOf(testJobID(1))) > 200 })
		for i, name := range controllerNames {
			if c.usesNewFormat() {
				t.Errorf("%d of 3 are upgraded, and the cluster uses the new format", i)
			}
			c.restartAs(false, name)
			time.Sleep(8 * time.Second)
		}
		c.untilUpgraded(20 * time.Second)
		c.env.Store.Limit(c.deployment.State.Smaller())
		c.submit(largeArray(3, 340), 20)
		c.until("segments are written", 2*time.Minute, func() bool { return c.countFurtherSegments() > 3 })
		whole := c.pipeline(100)
		c.killLeader()
		c.untilDone(10*time.Minute, append(whole, testJobID(1), testJobID(3))...)
		c.until("the segments are removed", 2*time.Minute, func() bool { return c.countFurtherSegments() == 0 })
		if n := c.env.Store.Refusals(400); n > 0 {
			t.Errorf("%d writes beyond the limits", n)
		}
	})
}

// All random troubles while the controllers are upgraded, at random moments, and the
// limits become smaller afterwards, with arrays of several segments among the jobs.
func TestChaosUpgrade(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(3) {
		runUpgrade(t, 760+seed, func(c *testCluster) {
			rng := rand.New(rand.NewPCG(seed, 11))
			var large []protocol.JobID
			left := slices.Clone(controllerNames)
			limitAt := -1
			chaosDuring(c, seed, func(step int) bool {
				if step%20 == 5 {
					job := largeArray(5000+step, 60+rng.IntN(60))
					if st := c.env.Submit(job, 10); st == 200 || st == 201 {
						large = append(large, job.ID)
					}
				}
				if step > 5 && len(left) > 0 && rng.IntN(4) == 0 {
					c.restartAs(false, left[0])
					left = left[1:]
					limitAt = step + rng.IntN(10)
				}
				if len(left) == 0 && step == max(limitAt, 1) {
					c.env.Store.Limit(c.deployment.State.Smaller())
				}
				return len(left) == 0
			})
			c.untilDone(10*time.Minute, large...)
			c.untilUpgraded(time.Minute)
		})
	}
}
