package server

import (
	"slices"
	"testing"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
)

// The same troubles at the size of the grown deployments: hundreds of machines,
// many of them in a one-way partition that drops what is sent to them, the leader left
// with its agents only, late copies of heartbeats, and every controller back at once.
func TestFleetInboundPartition(t *testing.T) {
	t.Parallel()
	runFleet(t, 138, func(c *testCluster, up func([]protocol.JobID) func() bool) {
		var heals []func()
		for i, m := range c.env.Machines() {
			if i%8 == 0 {
				heals = append(heals, c.network.DropInbound(m))
			}
		}
		heals = append(heals, c.isolateFromStoreAndPeers(c.leader()))
		c.env.Cancel("req-000001")
		time.Sleep(40 * time.Second)
		for _, heal := range heals {
			heal()
		}
		c.restartAll()
		c.expectAnswers(c.jobs...)
		if on := c.env.MachinesOf("req-000001"); len(on) > 0 {
			t.Errorf("cancelled, still on %v", on)
		}
		c.untilDone(6*time.Minute, c.jobs[20:]...)
		c.until("the other services run", time.Minute, up(c.jobs[1:20]))
	})
}

// A zone with the leader in it is cut off from everything, what is on the way is
// held and comes late, dozens of machines die meanwhile, and as it is over every
// controller ends: no rule is broken, and all runs again soon.
func TestFleetZonePartition(t *testing.T) {
	t.Parallel()
	runFleet(t, 142, func(c *testCluster, up func([]protocol.JobID) func() bool) {
		inside := map[string]bool{c.leader(): true, c.names[4]: true}
		for _, m := range c.env.Machines() {
			inside[m] = c.env.Zone(m) == "a"
		}
		var in, out []string
		for _, h := range slices.Concat(c.names, c.env.Machines(), []string{"state", "cloud", "users"}) {
			if inside[h] {
				in = append(in, h)
			} else {
				out = append(out, h)
			}
		}
		var heals []func()
		for _, h := range in {
			heals = append(heals, c.isolate(h, fake.Hold, out...))
		}
		time.Sleep(5 * time.Second)
		for i, m := range c.env.Machines() {
			if i%9 == 0 {
				c.env.Kill(m)
			}
		}
		c.env.Cancel("req-000001")
		time.Sleep(30 * time.Second)
		c.restartAll()
		for _, heal := range heals {
			heal()
		}
		c.expectAnswers(c.jobs...)
		c.untilDone(6*time.Minute, c.jobs[20:]...)
		c.until("the other services run", time.Minute, up(c.jobs[1:20]))
		if on := c.env.MachinesOf("req-000001"); len(on) > 0 {
			t.Errorf("cancelled, still on %v", on)
		}
	})
}

// runFleet plays a scenario with five controllers and hundreds of machines: twenty
// services, given to up, and eight arrays run.
func runFleet(t *testing.T, seed uint64, scenario func(c *testCluster, up func([]protocol.JobID) func() bool)) {
	dep := testDeployment()
	dep.Teams = []config.Team{{Name: "red", Cores: 500, CoresMax: 2000, GPUs: 4, GPUsMax: 8}, {Name: "blue", Cores: 500, CoresMax: 2000}}
	names := []string{"marble-0", "marble-1", "marble-2", "marble-3", "marble-4"}
	runIn(t, seed, names, dep, func(c *testCluster) {
		c.network.SetRepeat(map[string]time.Duration{"/hello": 40 * time.Second, "/do": 20 * time.Second})
		for i := range 20 {
			c.submit(serviceJob(1+i, 4), 0)
		}
		for i := range 8 {
			job := arrayJob(21+i, "check", 80)
			job.Team, job.EstimateS = []string{"red", "blue"}[i%2], 60
			c.submit(job, 60)
		}
		c.until("hundreds run", 2*time.Minute, func() bool { return len(c.env.Machines()) >= 250 })
		up := func(jobIDs []protocol.JobID) func() bool {
			return func() bool {
				return !slices.ContainsFunc(jobIDs, func(jobID protocol.JobID) bool { return len(c.env.MachinesOf(jobID)) != 4 })
			}
		}
		c.until("all services run", time.Minute, up(c.jobs[:20]))
		scenario(c, up)
	})
}
