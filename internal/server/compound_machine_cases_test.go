package server

import (
	"slices"
	"time"
)

// agentsCannotConnect blocks outbound connections of all machines for more than two leases:
// commands reach the agents, but the agents cannot open connections for their heartbeats.
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
	for _, machine := range c.env.Machines() {
		if c.env.Zone(machine) == "a" {
			c.env.Kill(machine)
		}
	}
	if variant == 2 {
		c.killLeader()
	}
	time.Sleep(15 * time.Second)
}

// machinesHangInCommand makes every machine hang for a few seconds after it has executed its
// next command and before it answers.
func machinesHangInCommand(c *testCluster, variant uint64) {
	c.startWorkload()
	for i, machine := range c.env.Machines() {
		c.env.HangInCommand(machine, time.Duration(2+3*i)*time.Second)
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

// repeatedHeartbeatsOfKilledMachines kills two machines while the network delivers copies of
// earlier heartbeats, theirs included.
func repeatedHeartbeatsOfKilledMachines(c *testCluster, variant uint64) {
	c.network.SetDuplicates(map[string]time.Duration{"/hello": 40 * time.Second})
	c.submit(arrayJob(1, "check", 8), 200)
	c.submit(arrayJob(2, "check", 8), 50) // its end leaves free capacity
	c.untilDone(2*time.Minute, "req-000002")
	c.env.SetCloudDown(true) // no machine can be deprovisioned, so only an expired lease proves that its tasks ended
	for _, machine := range slices.Compact(c.env.MachinesOf("req-000001"))[:2] {
		c.env.Kill(machine)
	}
	if variant == 1 {
		c.killLeader()
		return
	}
	// If the copy of a heartbeat counted as contact, it would extend the time for which
	// the leader assumes that a killed machine's lease is valid.
	c.until("the tasks of the killed machines run elsewhere", testLease+4*time.Second, func() bool { return len(c.env.MachinesOf("req-000001")) == 8 })
}

// machinesRebootWithLeader reboots every second machine as the leader is killed, twice, while the
// network delivers copies of earlier heartbeats and commands. Some of the agents have lost a lease
// before. By variant the rebooted machines are in contact, cannot open connections, or receive
// nothing.
func machinesRebootWithLeader(c *testCluster, variant uint64) {
	c.network.SetDuplicates(map[string]time.Duration{"/hello": 40 * time.Second, "/do": 20 * time.Second})
	c.startWorkload()
	for i, machine := range c.env.Machines() {
		if i%4 == 0 {
			c.blockOutbound(machine)
		}
	}
	time.Sleep(testLease + 4*time.Second)
	c.heal()
	time.Sleep(10 * time.Second)
	for range 2 {
		old := c.killLeader()
		for i, machine := range c.env.Machines() {
			if i%2 > 0 {
				continue
			}
			c.env.Reboot(machine, time.Duration(i)*100*time.Millisecond)
			switch variant {
			case 1:
				c.blockOutbound(machine)
			case 2:
				c.holdInbound(machine)
			}
		}
		time.Sleep(6 * time.Second)
		if old != "" {
			c.boot(old)
		}
		time.Sleep(testLease)
		c.heal()
		time.Sleep(8 * time.Second)
	}
}

// delayedHeartbeats delays all messages of half of the machines, heartbeats included, until
// a new leader has acted, and changes the leader three times.
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
