package server

import (
	"time"

	"marblehaven/internal/fake"
)

// allControllersDown ends all controllers for a time around the lease of the agents, with
// one machine partitioned, and starts a single one again.
func allControllersDown(c *testCluster, variant uint64) {
	c.startWorkload()
	machines := c.env.Machines()
	c.isolate(machines[0], fake.Hold, c.names...)
	for _, n := range c.names {
		c.kill(n)
	}
	time.Sleep(testLease - time.Second + time.Duration(variant)*4*time.Second)
	c.boot(c.names[variant])
	go c.env.Cancel("req-000001")
	time.Sleep(8 * time.Second)
}

// tenFailovers kills ten leaders in two minutes, four of them while the key-value store
// refuses everybody.
func tenFailovers(c *testCluster, variant uint64) {
	c.startWorkload()
	c.network.SetRepeat(map[string]time.Duration{"/hello": 40 * time.Second, "/do": 20 * time.Second, "/commit": 10 * time.Second})
	for i := range 10 {
		if l := c.killLeader(); l != "" {
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			c.boot(l)
		}
		c.env.Store.Refuse("", i >= 4 && i < 8)
		if i == 3 {
			go c.env.Cancel("req-000001")
		}
		time.Sleep(time.Duration(5+3*int(variant)) * time.Second)
	}
}

// leaderKilledDuringPartitions kills the leader while three machines with tasks are
// partitioned, each in another way.
func leaderKilledDuringPartitions(c *testCluster, variant uint64) {
	c.startWorkload()
	on := c.env.MachinesOf("req-000003")
	c.isolate(on[0], fake.Hold, c.names...)
	c.dropInbound(c.env.MachinesOf("req-000002")[0])
	c.blockOutbound(c.env.MachinesOf("req-000004")[0])
	time.Sleep(time.Duration(variant) * 2 * time.Second)
	old := c.killLeader()
	go c.env.Cancel("req-000001")
	time.Sleep(4 * time.Second)
	c.boot(old)
	time.Sleep(testLease + time.Duration(variant)*8*time.Second)
	c.heal()
	time.Sleep(10 * time.Second)
}

// tasksEndFarApart changes the leader three times while tasks of a job end far apart.
func tasksEndFarApart(c *testCluster, variant uint64) {
	c.env.SetUneven(2)
	c.submit(arrayJob(1, "check", 2), 15)
	c.submit(arrayJob(2, "check", 3), 12)
	c.submit(arrayJob(3, "check", 3), 14)
	c.until("they run", time.Minute, func() bool {
		return len(c.env.MachinesOf("req-000001")) == 2 && len(c.env.MachinesOf("req-000003")) == 3
	})
	time.Sleep(time.Duration(13+variant) * time.Second) // the first have ended or are about to
	for range 3 {
		old := c.killLeader()
		time.Sleep(3 * time.Second)
		if old != "" {
			c.boot(old)
		}
		time.Sleep(8 * time.Second)
	}
	go c.env.Cancel("req-000003")
}

// leadersRestartThenAllKilled restarts two leaders within a second, then ends all controllers
// and starts a single one again.
func leadersRestartThenAllKilled(c *testCluster, variant uint64) {
	c.startWorkload()
	first := c.killLeader()
	time.Sleep(time.Duration(100+variant*300) * time.Millisecond)
	c.boot(first)
	c.until("one leads", 10*time.Second, func() bool { return c.leader() != "" })
	second := c.killLeader()
	go c.env.Cancel("req-000001")
	time.Sleep(300 * time.Millisecond)
	c.boot(second)
	time.Sleep(time.Duration(variant) * time.Second)
	for _, n := range c.names {
		c.kill(n)
	}
	time.Sleep(400 * time.Millisecond)
	c.boot(first)
	time.Sleep(12 * time.Second)
}
