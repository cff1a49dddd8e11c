package server

import (
	"slices"
	"time"
)

// agentsCannotConnect is a one-way partition of all machines for more than two leases:
// commands reach the agents, which can open no connections.
func agentsCannotConnect(c *testCluster, variant uint64) {
	c.startWorkload()
	c.blockOutbound(c.env.Machines()...)
	time.Sleep(time.Duration(variant) * 3 * time.Second)
	go c.env.Cancel("req-000001")
	c.submit(arrayJob(5, "check", 4), 20)
	if variant == 1 {
		c.killLeader()
	}
	time.Sleep(2*testLease + 10*time.Second)
	c.heal()
}

// zoneLosesMachines kills all machines of the zone that a job is bound to, in variants
// with the cloud down or the leader killed.
func zoneLosesMachines(c *testCluster, variant uint64) {
	c.startWorkload()
	if variant == 1 {
		c.env.SetCloudDown(true)
	}
	for _, m := range c.env.Machines() {
		if c.env.Zone(m) == "a" {
			c.env.Kill(m)
		}
	}
	if variant == 2 {
		c.killLeader()
	}
	time.Sleep(15 * time.Second)
}

// machinesHangInCommand hangs every machine between a command and its answer.
func machinesHangInCommand(c *testCluster, variant uint64) {
	c.startWorkload()
	for i, m := range c.env.Machines() {
		c.env.HangInCommand(m, time.Duration(2+3*i)*time.Second)
	}
	c.submit(arrayJob(5, "check", 8), 20)
	c.submit(gangJob(6, 2), 20)
	time.Sleep(time.Duration(1+variant) * time.Second)
	go c.env.Cancel("req-000001")
	go c.env.Cancel("req-000003")
	if variant == 2 {
		c.killLeader()
	}
	time.Sleep(25 * time.Second)
}

// repeatedHeartbeatsOfKilledMachines kills machines whose heartbeats the network delivers again.
func repeatedHeartbeatsOfKilledMachines(c *testCluster, variant uint64) {
	c.network.SetRepeat(map[string]time.Duration{"/hello": 40 * time.Second})
	c.submit(arrayJob(1, "check", 8), 200)
	c.submit(arrayJob(2, "check", 8), 50) // leaves free capacity behind
	c.untilDone(2*time.Minute, "req-000002")
	c.env.SetCloudDown(true) // no return proves anything, so only the leases can
	for _, m := range slices.Compact(c.env.MachinesOf("req-000001"))[:2] {
		c.env.Kill(m)
	}
	if variant == 1 {
		c.killLeader()
		return
	}
	// A copy that counted as a sign of life would renew a dead machine's lease.
	c.until("what the dead machines had runs elsewhere", testLease+4*time.Second, func() bool { return len(c.env.MachinesOf("req-000001")) == 8 })
}

// delayedHeartbeats delays the heartbeats of half of the machines until a new leader has
// acted, with three changes of the leader.
func delayedHeartbeats(c *testCluster, variant uint64) {
	c.startWorkload()
	machines := c.env.Machines()
	c.network.SetDelay(func(from, _ string) time.Duration {
		if i := slices.Index(machines, from); i >= 0 && i%2 == 0 {
			return time.Duration(c.env.Random() * 16 * float64(time.Second))
		}
		return 0
	})
	for range 3 {
		old := c.killLeader()
		time.Sleep(time.Duration(1+variant) * time.Second)
		if old != "" {
			c.boot(old)
		}
		time.Sleep(9 * time.Second)
	}
	go c.env.Cancel("req-000003")
	time.Sleep(10 * time.Second)
}
