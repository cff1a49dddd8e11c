package server

import (
	"time"

	"marblehaven/internal/fake"
)

// allControllersDown kills all controllers while one machine is partitioned from them, and
// starts one again after 1 s less than the agents' lease, or 3 s or 7 s more, by variant.
func allControllersDown(c *testCluster, variant uint64) {
	c.startWorkload()
	machines := c.env.Machines()
	c.isolate(machines[0], fake.Hold, c.names...)
	for _, name := range c.names {
		c.kill(name)
	}
	time.Sleep(testLease - time.Second + time.Duration(variant)*4*time.Second)
	c.boot(c.names[variant])
	go c.env.Cancel("req-000001")
	time.Sleep(8 * time.Second)
}

// tenFailovers kills ten leaders in two minutes, four of them while the key-value store
// refuses all hosts.
func tenFailovers(c *testCluster, variant uint64) {
	c.startWorkload()
	c.network.SetDuplicates(map[string]time.Duration{"/hello": 40 * time.Second, "/do": 20 * time.Second, "/commit": 10 * time.Second})
	for i := range 10 {
		if old := c.killLeader(); old != "" {
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			c.boot(old)
		}
		c.env.Store.SetUnavailable("", i >= 4 && i < 8)
		if i == 3 {
			go c.env.Cancel("req-000001")
		}
		time.Sleep(time.Duration(5+3*int(variant)) * time.Second)
	}
}

// leaderKilledDuringPartitions kills the leader while three machines with tasks are
// partitioned: one in both directions, one inbound and one outbound.
func leaderKilledDuringPartitions(c *testCluster, variant uint64) {
	c.startWorkload()
	arrayMachines := c.env.MachinesOf("req-000003")
	c.isolate(arrayMachines[0], fake.Hold, c.names...)
	c.holdInbound(c.env.MachinesOf("req-000002")[0])
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

// tasksEndFarApart kills the leader three times while the tasks of each job end at times far
// apart.
func tasksEndFarApart(c *testCluster, variant uint64) {
	c.env.SetRunTimeIncrement(2)
	c.submit(arrayJob(1, "check", 2), 15)
	c.submit(arrayJob(2, "check", 3), 12)
	c.submit(arrayJob(3, "check", 3), 14)
	c.until("the tasks of req-000001 and req-000003 run", time.Minute, func() bool {
		return len(c.env.MachinesOf("req-000001")) == 2 && len(c.env.MachinesOf("req-000003")) == 3
	})
	time.Sleep(time.Duration(13+variant) * time.Second) // the first tasks have ended or are about to end
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

// leadersRestartThenAllKilled kills two leaders in a row and restarts each within a second,
// then kills all controllers and starts a single one again.
func leadersRestartThenAllKilled(c *testCluster, variant uint64) {
	c.startWorkload()
	first := c.killLeader()
	time.Sleep(time.Duration(100+variant*300) * time.Millisecond)
	c.boot(first)
	c.until("a controller leads", 10*time.Second, func() bool { return c.leader() != "" })
	second := c.killLeader()
	go c.env.Cancel("req-000001")
	time.Sleep(300 * time.Millisecond)
	c.boot(second)
	time.Sleep(time.Duration(variant) * time.Second)
	for _, name := range c.names {
		c.kill(name)
	}
	time.Sleep(400 * time.Millisecond)
	c.boot(first)
	time.Sleep(12 * time.Second)
}
