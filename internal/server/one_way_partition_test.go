package server

import (
	"slices"
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

// An agent that reaches no controller, though commands reach it, cannot renew its lease:
// tasks that are started there are lost again, so none are placed on the machine until
// heartbeats arrive.
func TestMachineOutboundPartition(t *testing.T) {
	t.Parallel()
	run(t, 340, func(c *testCluster) {
		c.exhaustCapacity() // but some: there is more work
		c.env.Limit("small", "a", false, 3)
		c.env.Limit("small", "b", false, 3)
		c.submit(serviceJob(1, 2), 0)
		c.submit(arrayJob(2, "fill", 400), 3)
		c.until("all run", 2*time.Minute, func() bool {
			return len(c.env.MachinesOf("req-000001")) == 2 && len(c.env.MachinesOf("req-000002")) >= 5
		})
		partitioned := c.env.MachinesOf("req-000001")[0]
		c.blockOutbound(partitioned)
		// It answers commands, but after some heartbeat intervals gets nothing more.
		time.Sleep(10500 * time.Millisecond)
		if slices.Contains(c.env.MachinesOf("req-000002"), partitioned) {
			t.Error("work is still put on a machine that has fallen silent")
		}
		c.untilElsewhere("req-000001", 2, partitioned, testLease+10*time.Second)
		for range 60 {
			time.Sleep(time.Second)
			if slices.Contains(c.env.MachinesOf("req-000002"), partitioned) || slices.Contains(c.env.MachinesOf("req-000001"), partitioned) {
				t.Fatal("work was put on a machine that cannot say that it lives")
			}
		}
		c.expectRecovery()
	})
}

// No agent can open a connection for much longer than a lease and the wait after it:
// the machines answer commands, so they are there, and are not given back. (Found on the
// bench by days/mute.toml: all machines went back at once and were provisioned anew.)
func TestFleetOutboundPartition(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(2) {
		run(t, 350+seed, func(c *testCluster) {
			c.startWorkload()
			time.Sleep(25 * time.Second) // what was provisioned beyond need is up
			c.exhaustCapacity()
			machines, expiriesBefore, terms := c.env.Machines(), c.env.LeaseExpiries(), c.latestTerm()
			c.blockOutbound(machines...)
			time.Sleep(20 * time.Second)
			if seed%2 == 1 {
				c.killLeader()
			}
			time.Sleep(80 * time.Second)
			if left := c.env.Machines(); !slices.Equal(left[:min(len(left), len(machines))], machines) {
				t.Errorf("of %v only %v are left", machines, left)
			}
			// Each loses what it had, and nothing is put there to be lost again, but by a
			// new leader, which cannot know before some heartbeat intervals are over.
			if n := c.env.LeaseExpiries() - expiriesBefore; n > len(machines)*int(1+seed%2) {
				t.Errorf("%d leases of %d machines expired with tasks", n, len(machines))
			}
			// One leader may leave the term to another, which can do no better.
			if n := c.latestTerm() - terms; n > protocol.Term(1+seed%2) {
				t.Errorf("%d terms", n)
			}
			c.heal()
			c.until("the services run", 15*time.Second, func() bool {
				return len(c.env.MachinesOf("req-000001")) == 2 && len(c.env.MachinesOf("req-000002")) == 2
			})
			c.expectRecovery()
		})
	}
}

// A machine whose heartbeats arrive while nothing reaches it loses its tasks by
// its lease, and they run elsewhere soon; nothing more is placed on it.
func TestMachineInboundPartition(t *testing.T) {
	t.Parallel()
	run(t, 134, func(c *testCluster) {
		c.submit(serviceJob(1, 2), 0)
		c.submit(arrayJob(2, "fill", 10), 60)
		c.until("all run", 2*time.Minute, func() bool {
			return len(c.env.MachinesOf("req-000001")) == 2 && len(c.env.MachinesOf("req-000002")) >= 5
		})
		partitioned := c.env.MachinesOf("req-000001")[0]
		heal := c.network.DropInbound(partitioned)
		defer heal()
		c.untilElsewhere("req-000001", 2, partitioned, testLease+30*time.Second)
		for range 60 {
			time.Sleep(time.Second)
			if slices.Contains(c.env.MachinesOf("req-000002"), partitioned) {
				t.Fatal("work was put on a machine that hears nothing")
			}
		}
	})
}
