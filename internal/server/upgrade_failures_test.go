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

// The limits become smaller before the cluster uses the new format, since a controller that
// was upgraded could not record it. What runs goes on, and so does new work; no write
// is sent again and again that can't be taken.
func TestLimitsBeforeFormat(t *testing.T) {
	t.Parallel()
	runUpgrade(t, 71, func(c *testCluster) {
		c.env.SetUneven(0.01) // its tasks end one after the other
		c.submit(largeArray(1, 340), 40)
		c.until("hundreds run", 4*time.Minute, func() bool { return len(c.env.MachinesOf(testJobID(1))) > 200 })
		last := controllerNames[2]
		heal := c.cut(last, "state", fake.Hold)
		for _, name := range controllerNames {
			c.restartAs(false, name)
			time.Sleep(3 * time.Second)
		}
		c.env.Store.Limit(c.deployment.State.Smaller())
		c.submit(largeArray(2, 100), 10)
		c.submit(serviceJob(3, 3), 0)
		c.untilDone(8*time.Minute, testJobID(1), testJobID(2))
		if c.usesNewFormat() || c.countFurtherSegments() > 0 {
			t.Error("the cluster uses the new format without a node")
		}
		// The leader learns of the limits by the first.
		if n := c.env.Store.Refusals(400); n != 1 {
			t.Errorf("%d writes beyond the limits", n)
		}
		heal()
		c.untilUpgraded(30 * time.Second)
		c.submit(largeArray(4, 200), 10)
		c.untilDone(8*time.Minute, testJobID(4))
	})
}

// A version record that can't be read counts as one of the previous version.
func TestUnreadableVersion(t *testing.T) {
	t.Parallel()
	runUpgrade(t, 74, func(c *testCluster) {
		c.env.Store.Corrupt(records.NodeVersionKey(controllerNames[2]))
		c.restartAs(false, controllerNames[0], controllerNames[1])
		time.Sleep(20 * time.Second)
		if c.usesNewFormat() {
			t.Error("the cluster uses the new format")
		}
		c.untilStatusPageShows("version 1 of its records", "<td>marble-1</td><td>2</td>", "<td>marble-2</td><td>1</td>")
		c.restartAs(false, controllerNames[2]) // it writes its record anew
		c.untilUpgraded(30 * time.Second)
		c.untilStatusPageShows("version 2 of its records", "<td>marble-1</td><td>2</td>", "<td>marble-2</td><td>2</td>")
	})
}

// untilStatusPageShows waits until the status page of every controller holds some texts.
func (c *testCluster) untilStatusPageShows(texts ...string) {
	c.t.Helper()
	for _, name := range c.names {
		c.until(name+" shows "+texts[0], 20*time.Second, func() bool {
			rec := httptest.NewRecorder()
			c.mu.Lock()
			node := c.controllers[name]
			c.mu.Unlock()
			node.api.ServeHTTP(rec, httptest.NewRequest("GET", "/", nil))
			return !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(rec.Body.String(), text) })
		})
	}
}
