package server

import (
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"marblehaven/internal/fake"
	"marblehaven/internal/records"
)

// TestLimitsBeforeFormat checks the time in which the limits of the key-value store are
// already smaller but the cluster does not use the new format yet, because one upgraded
// controller could not record that it reads this format. Running and new jobs complete, and
// the leader does not keep sending writes that the store refuses as beyond the limits.
func TestLimitsBeforeFormat(t *testing.T) {
	t.Parallel()
	runUpgrade(t, 71, func(c *testCluster) {
		c.env.SetRunTimeIncrement(0.01) // tasks end one after the other
		c.submit(largeArray(1, 340), 40)
		c.until("more than 200 tasks run", 4*time.Minute, func() bool { return len(c.env.MachinesOf(testJobID(1))) > 200 })
		last := controllerNames[2]
		heal := c.cut(last, "state", fake.Hold)
		for _, name := range controllerNames {
			c.restartAs(false, name)
			time.Sleep(3 * time.Second)
		}
		c.env.Store.LowerLimits(c.deployment.State.StricterLimits())
		c.submit(largeArray(2, 100), 10)
		c.submit(serviceJob(3, 3), 0)
		c.untilDone(8*time.Minute, testJobID(1), testJobID(2))
		if c.usesNewFormat() || c.countFurtherSegments() > 0 {
			t.Error("the cluster uses the new format, or has written segments, before every controller has recorded that it reads them")
		}
		// The leader applies the smaller limits as soon as the first write is refused.
		if refusals := c.env.Store.Refusals(400); refusals != 1 {
			t.Errorf("%d writes were refused as beyond the limits, want 1", refusals)
		}
		heal()
		c.untilNewFormatUsed(30 * time.Second)
		c.submit(largeArray(4, 200), 10)
		c.untilDone(8*time.Minute, testJobID(4))
	})
}

// TestUnreadableVersion checks that a controller whose version record cannot be decoded counts
// as one that supports only the previous version of the record formats.
func TestUnreadableVersion(t *testing.T) {
	t.Parallel()
	runUpgrade(t, 74, func(c *testCluster) {
		c.env.Store.Corrupt(records.NodeVersionKey(controllerNames[2]))
		c.restartAs(false, controllerNames[0], controllerNames[1])
		time.Sleep(20 * time.Second)
		if c.usesNewFormat() {
			t.Error("the cluster uses the new format, although the version record of a controller is unreadable")
		}
		c.untilStatusPageShows("version 1 of its records", "<td>marble-1</td><td>2</td>", "<td>marble-2</td><td>1</td>")
		c.restartAs(false, controllerNames[2]) // it overwrites the unreadable version record
		c.untilNewFormatUsed(30 * time.Second)
		c.untilStatusPageShows("version 2 of its records", "<td>marble-1</td><td>2</td>", "<td>marble-2</td><td>2</td>")
	})
}

// untilStatusPageShows waits until the status page of every controller contains all texts.
func (c *testCluster) untilStatusPageShows(texts ...string) {
	c.t.Helper()
	for _, name := range c.names {
		c.until(name+" serves a status page with all texts, the first being "+texts[0], 20*time.Second, func() bool {
			recorder := httptest.NewRecorder()
			c.mu.Lock()
			node := c.controllers[name]
			c.mu.Unlock()
			node.api.ServeHTTP(recorder, httptest.NewRequest("GET", "/", nil))
			return !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(recorder.Body.String(), text) })
		})
	}
}
