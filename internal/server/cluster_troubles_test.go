package server

import (
	"slices"
	"time"

	"marblehaven/internal/protocol"
)

// at is the users' address of a node.
func (c *testCluster) at(name string) string { return c.env.Nodes[slices.Index(c.names, name)] }

// others are all nodes but one.
func (c *testCluster) others(name string) []string {
	return slices.DeleteFunc(slices.Clone(c.names), func(n string) bool { return n == name })
}

// withdrawAt cancels a job at one node and checks that it is told so.
func (c *testCluster) withdrawAt(name string, jobID protocol.JobID) {
	c.t.Helper()
	c.env.Asked = []string{c.at(name)}
	if st, s := c.env.Cancel(jobID); st != 200 || s.Phase != protocol.PhaseCancelled {
		c.t.Errorf("withdrawing %s: %d %q", jobID, st, s.Phase)
	}
	c.env.Asked = nil
}

// untilAnotherLeads waits for a leader beside a node, which may still take itself for
// one, and returns its name.
func (c *testCluster) untilAnotherLeads(old string, limit time.Duration) (next string) {
	c.t.Helper()
	c.until("another leads", limit, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for name, node := range c.controllers {
			if name != old && node.LocalLeader() != nil {
				next = name
			}
		}
		return next != ""
	})
	return next
}

// settle ends all troubles and judges what the operators' page judges then: every
// accepted job is known, cancelled ones have nothing left, the others run and end,
// and none is left waiting beside room.
func (c *testCluster) settle() {
	c.t.Helper()
	c.env.Store.Refuse("", false)
	for _, n := range c.names {
		c.env.Store.Refuse(n, false)
		if !c.alive(n) {
			c.boot(n)
		}
	}
	c.env.Store.Slow, c.env.Store.Late, c.env.Store.LoseReply, c.env.Store.LoseEvent = nil, nil, nil, nil
	c.network.Delay = nil
	c.env.CloudDown = false
	c.mend()
	c.env.EndTroubles()
	c.known(c.jobs...)
	for _, jobID := range c.jobs {
		job := c.env.Job(jobID)
		switch {
		case c.env.Cancelled(jobID):
			c.until(string(jobID)+" is over", time.Minute, func() bool {
				p := c.phase(jobID)
				return (p == protocol.PhaseCancelled || p == protocol.PhaseDone) && len(c.env.MachinesOf(jobID)) == 0
			})
		case job.Kind == protocol.KindService:
			c.until(string(jobID)+" runs", 3*time.Minute, func() bool { return len(c.env.MachinesOf(jobID)) == job.Tasks })
		default:
			c.untilDone(6*time.Minute, jobID)
		}
	}
	time.Sleep(time.Minute)
}

func (c *testCluster) alive(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controllers[name] != nil
}

// mute makes machines unable to open connections.
func (c *testCluster) mute(machines ...string) {
	for _, m := range machines {
		c.mends = append(c.mends, c.network.BlockOutbound(m))
	}
}

// deafen makes machines hear nothing.
func (c *testCluster) deafen(machines ...string) {
	for _, m := range machines {
		c.mends = append(c.mends, c.network.DropInbound(m))
	}
}

// mend ends the cuts made so far.
func (c *testCluster) mend() {
	for _, mend := range c.mends {
		mend()
	}
	c.mends = nil
}

// begin submits two services and two arrays and waits until they run.
func (c *testCluster) begin() {
	c.t.Helper()
	c.submit(serviceJob(1, 2), 0)
	c.submit(serviceJob(2, 2), 0)
	c.submit(arrayJob(3, "check", 6), 60)
	zoned := arrayJob(4, "check", 4)
	zoned.Zone, zoned.OneZone = "a", true
	c.submit(zoned, 60)
	c.until("all run", 2*time.Minute, func() bool {
		return len(c.env.MachinesOf("req-000001")) == 2 && len(c.env.MachinesOf("req-000002")) == 2 && len(c.env.MachinesOf("req-000003")) == 6 && len(c.env.MachinesOf("req-000004")) == 4
	})
	time.Sleep(5 * time.Second)
}

// lateCommits picks a share of the commits to be carried out 2 to 12 s late.
func (c *testCluster) lateCommits(share float64) func() time.Duration {
	return func() time.Duration {
		if c.env.Random() < share {
			return time.Duration((2 + 10*c.env.Random()) * float64(time.Second))
		}
		return 0
	}
}

// noRoom lets the cloud rent out nothing more.
func (c *testCluster) noRoom() {
	for _, typ := range testTypes {
		for _, zone := range typ.Zones {
			c.env.Limit(typ.Name, zone, false, 0)
			c.env.Limit(typ.Name, zone, true, 0)
		}
	}
}

// killLeader ends the leader, if there is one, and returns its name.
func (c *testCluster) killLeader() string {
	l := c.leader()
	if l != "" {
		c.kill(l)
	}
	return l
}
