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

// runUpgrade runs a scenario that begins with all controllers supporting only the previous
// version of the record formats.
func runUpgrade(t *testing.T, seed uint64, scenario func(c *testCluster)) {
	runUpgradeIn(t, seed, controllerNames, largeArrayDeployment(), scenario)
}

// runUpgradeIn is runUpgrade with controllers of the given names and in the given deployment.
func runUpgradeIn(t *testing.T, seed uint64, names []string, dep config.Deployment, scenario func(c *testCluster)) {
	runInDeployment(t, seed, names, dep, func(c *testCluster) {
		c.restartAs(true, names...)
		c.env.Store.SetOnCommit(func(txn *protocol.Transaction) {
			c.checkRequiredPreconditions(txn)
			c.checkReadableByPreviousVersion(txn)
		})
		for _, key := range c.env.Store.Keys(records.PrefixNodeVersion) {
			c.env.Store.Remove(key)
		}
		c.env.Store.Remove(records.KeyClusterVersion)
		c.restartAs(true, names...)
		c.until("a controller leads", time.Minute, func() bool { return c.leader() != "" })
		scenario(c)
	})
}

// restartAs restarts controllers with support for the previous version of the record formats
// only, or for the current version.
func (c *testCluster) restartAs(previous bool, names ...string) {
	for _, name := range names {
		c.kill(name)
		c.mu.Lock()
		c.runsPreviousVersion[name] = previous
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

// usesNewFormat reports whether the cluster uses the new version of the record formats.
func (c *testCluster) usesNewFormat() bool {
	var version records.FormatVersion
	raw := c.env.Store.Value(records.KeyClusterVersion)
	return raw != nil && codec.Unmarshal(raw, &version) == nil && version.Format == records.FormatSegmented
}

// untilNewFormatUsed waits until the cluster uses the new version of the record formats.
func (c *testCluster) untilNewFormatUsed(limit time.Duration) {
	c.t.Helper()
	c.until("the cluster uses the new format", limit, c.usesNewFormat)
}

// TestUpgrade upgrades one controller after the other while a large array runs. The array's
// run record exceeds the smaller limits that take effect afterwards. The array must keep
// running, with its run record in segments that fit these limits.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	runUpgrade(t, 70, func(c *testCluster) {
		c.submit(largeArray(1, 340), 30)
		c.submit(serviceJob(2, 3), 0)
		c.until("more than 200 tasks run", 4*time.Minute, func() bool { return len(c.env.MachinesOf(testJobID(1))) > 200 })
		for i, name := range controllerNames {
			if c.usesNewFormat() {
				t.Errorf("%d of 3 controllers are upgraded, but the cluster already uses the new format", i)
			}
			c.restartAs(false, name)
			time.Sleep(8 * time.Second)
		}
		c.untilNewFormatUsed(20 * time.Second)
		c.env.Store.LowerLimits(c.deployment.State.StricterLimits())
		c.submit(largeArray(3, 340), 20)
		c.until("more than 3 segments beyond the first are written", 2*time.Minute, func() bool { return c.countFurtherSegments() > 3 })
		pipelineJobs := c.pipeline(100)
		c.killLeader()
		c.untilDone(10*time.Minute, append(pipelineJobs, testJobID(1), testJobID(3))...)
		c.until("the segments are removed", 2*time.Minute, func() bool { return c.countFurtherSegments() == 0 })
		if refusals := c.env.Store.Refusals(400); refusals > 0 {
			t.Errorf("%d writes were refused as beyond the limits, want none", refusals)
		}
	})
}

// TestChaosUpgrade checks recovery from all random faults of the chaos tests while controllers
// are upgraded at random times and the limits become smaller afterwards. Some of the jobs are
// arrays with run records of several segments.
func TestChaosUpgrade(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(3) {
		runUpgrade(t, 760+seed, func(c *testCluster) {
			rng := rand.New(rand.NewPCG(seed, 11))
			var large []protocol.JobID
			notUpgraded := slices.Clone(controllerNames)
			limitStep := -1
			chaosWithSteps(c, seed, func(step int) bool {
				if step%20 == 5 {
					job := largeArray(5000+step, 60+rng.IntN(60))
					if status := c.env.Submit(job, 10); status == 200 || status == 201 {
						large = append(large, job.ID)
					}
				}
				if step > 5 && len(notUpgraded) > 0 && rng.IntN(4) == 0 {
					c.restartAs(false, notUpgraded[0])
					notUpgraded = notUpgraded[1:]
					limitStep = step + rng.IntN(10)
				}
				if len(notUpgraded) == 0 && step == max(limitStep, 1) {
					c.env.Store.LowerLimits(c.deployment.State.StricterLimits())
				}
				return len(notUpgraded) == 0
			})
			c.untilDone(10*time.Minute, large...)
			c.untilNewFormatUsed(time.Minute)
		})
	}
}
