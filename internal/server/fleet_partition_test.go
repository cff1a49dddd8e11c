package server

import (
	"slices"
	"testing"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
)

// TestFleetInboundPartition checks the recovery of a large deployment with hundreds of
// machines: many of them are in a one-way partition that holds what is sent to them, the
// leader reaches neither the key-value store nor the other controllers, copies of heartbeats
// arrive late, and in the end all controllers restart at once.
func TestFleetInboundPartition(t *testing.T) {
	t.Parallel()
	runFleet(t, 138, func(c *testCluster, replicasUp func([]protocol.JobID) func() bool) {
		var healFuncs []func()
		for i, machine := range c.env.Machines() {
			if i%8 == 0 {
				healFuncs = append(healFuncs, c.network.HoldInbound(machine))
			}
		}
		healFuncs = append(healFuncs, c.isolateFromStoreAndPeers(c.leader()))
		c.env.Cancel("req-000001")
		time.Sleep(40 * time.Second)
		for _, heal := range healFuncs {
			heal()
		}
		c.restartAll()
		c.expectStatusAnswers(c.jobs...)
		if machines := c.env.MachinesOf("req-000001"); len(machines) > 0 {
			t.Errorf("the cancelled job req-000001 still has tasks on %v", machines)
		}
		c.untilDone(6*time.Minute, c.jobs[20:]...)
		c.until("all replicas of the services that were not cancelled run", time.Minute, replicasUp(c.jobs[1:20]))
	})
}

// TestFleetZonePartition checks that no rule is broken and all jobs run again soon after a
// zone with the leader in it was partitioned from all other hosts. Messages across the
// partition are held and arrive late, dozens of machines are killed meanwhile, and all
// controllers restart when it ends.
func TestFleetZonePartition(t *testing.T) {
	t.Parallel()
	runFleet(t, 142, func(c *testCluster, replicasUp func([]protocol.JobID) func() bool) {
		inside := map[string]bool{c.leader(): true, c.names[4]: true}
		for _, machine := range c.env.Machines() {
			inside[machine] = c.env.Zone(machine) == "a"
		}
		var insideHosts, outsideHosts []string
		for _, host := range slices.Concat(c.names, c.env.Machines(), []string{"state", "cloud", "users"}) {
			if inside[host] {
				insideHosts = append(insideHosts, host)
			} else {
				outsideHosts = append(outsideHosts, host)
			}
		}
		var healFuncs []func()
		for _, host := range insideHosts {
			healFuncs = append(healFuncs, c.isolate(host, fake.Hold, outsideHosts...))
		}
		time.Sleep(5 * time.Second)
		for i, machine := range c.env.Machines() {
			if i%9 == 0 {
				c.env.Kill(machine)
			}
		}
		c.env.Cancel("req-000001")
		time.Sleep(30 * time.Second)
		c.restartAll()
		for _, heal := range healFuncs {
			heal()
		}
		c.expectStatusAnswers(c.jobs...)
		c.untilDone(6*time.Minute, c.jobs[20:]...)
		c.until("all replicas of the services that were not cancelled run", time.Minute, replicasUp(c.jobs[1:20]))
		if machines := c.env.MachinesOf("req-000001"); len(machines) > 0 {
			t.Errorf("the cancelled job req-000001 still has tasks on %v", machines)
		}
	})
}

// runFleet runs a scenario with five controllers and hundreds of machines, on which twenty
// services and eight arrays run. The scenario gets replicasUp, which returns a condition: all
// four replicas of each given service are placed on machines.
func runFleet(t *testing.T, seed uint64, scenario func(c *testCluster, replicasUp func([]protocol.JobID) func() bool)) {
	dep := testDeployment()
	dep.Teams = []config.Team{{Name: "red", GuaranteedCores: 500, CoresMax: 2000, GuaranteedGPUs: 4, GPUsMax: 8}, {Name: "blue", GuaranteedCores: 500, CoresMax: 2000}}
	names := []string{"marble-0", "marble-1", "marble-2", "marble-3", "marble-4"}
	runInDeployment(t, seed, names, dep, func(c *testCluster) {
		c.network.SetDuplicates(map[string]time.Duration{"/hello": 40 * time.Second, "/do": 20 * time.Second})
		for i := range 20 {
			c.submit(serviceJob(1+i, 4), 0)
		}
		for i := range 8 {
			job := arrayJob(21+i, "check", 80)
			job.Team, job.EstimateS = []string{"red", "blue"}[i%2], 60
			c.submit(job, 60)
		}
		c.until("at least 250 machines are up", 2*time.Minute, func() bool { return len(c.env.Machines()) >= 250 })
		replicasUp := func(jobIDs []protocol.JobID) func() bool {
			return func() bool {
				return !slices.ContainsFunc(jobIDs, func(jobID protocol.JobID) bool { return len(c.env.MachinesOf(jobID)) != 4 })
			}
		}
		c.until("all replicas of the twenty services run", time.Minute, replicasUp(c.jobs[:20]))
		scenario(c, replicasUp)
	})
}
