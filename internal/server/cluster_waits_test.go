package server

import (
	"slices"
	"sync"
	"time"

	"marblehaven/internal/protocol"
)

// until waits for a condition, and ends the test if it does not hold within the limit.
func (c *testCluster) until(description string, limit time.Duration, condition func() bool) {
	c.t.Helper()
	for start := time.Now(); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Since(start) > limit {
			c.t.Fatalf("not within %v: %s", limit, description)
		}
	}
}

// untilElsewhere waits until all replicas of a service run, none of them on a machine.
func (c *testCluster) untilElsewhere(jobID protocol.JobID, replicas int, machine string, limit time.Duration) {
	c.t.Helper()
	c.until("the replica runs elsewhere", limit, func() bool {
		machines := c.env.MachinesOf(jobID)
		return len(machines) == replicas && !slices.Contains(machines, machine)
	})
}

// untilDone waits until the users of all jobs are told that they are done.
func (c *testCluster) untilDone(limit time.Duration, jobIDs ...protocol.JobID) {
	c.t.Helper()
	for _, jobID := range jobIDs {
		c.until(string(jobID)+" is done", limit, func() bool { time.Sleep(time.Second); return c.phase(jobID) == protocol.PhaseDone })
	}
}

// untilCancelled waits until the users of all jobs are told that they are cancelled.
func (c *testCluster) untilCancelled(limit time.Duration, jobIDs ...protocol.JobID) {
	c.t.Helper()
	for _, jobID := range jobIDs {
		c.until(string(jobID)+" is cancelled", limit, func() bool { return c.phase(jobID) == protocol.PhaseCancelled })
	}
}

// untilAnotherLeads waits for a leader beside a controller, which may still take itself for
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

// expectAnswers checks that each accepted job gets an answer within 75 s, however the
// others fare, as the operators' rule says.
func (c *testCluster) expectAnswers(jobIDs ...protocol.JobID) {
	c.t.Helper()
	var wg sync.WaitGroup
	for _, jobID := range jobIDs {
		wg.Go(func() {
			for start := time.Now(); ; time.Sleep(5 * time.Second) {
				if status, _ := c.env.Poll(jobID); status == 200 {
					return
				}
				if time.Since(start) > 75*time.Second {
					c.t.Errorf("%s is forgotten", jobID)
					return
				}
			}
		})
	}
	wg.Wait()
}

// expectRecovery ends all failures and judges what must hold then: every accepted job is
// known, cancelled ones have nothing left, the others run and end,
// and none is left waiting beside free capacity.
func (c *testCluster) expectRecovery() {
	c.t.Helper()
	c.env.Store.Refuse("", false)
	for _, name := range c.names {
		c.env.Store.Refuse(name, false)
		if !c.isRunning(name) {
			c.boot(name)
		}
	}
	c.env.Store.SetSlow(nil)
	c.env.Store.SetLate(nil)
	c.env.Store.SetLoseReply(nil)
	c.env.Store.SetLoseEvent(nil)
	c.network.SetDelay(nil)
	c.env.SetCloudDown(false)
	c.heal()
	c.env.EndTroubles()
	c.expectAnswers(c.jobs...)
	for _, jobID := range c.jobs {
		job := c.env.Job(jobID)
		switch {
		case c.env.Cancelled(jobID):
			c.until(string(jobID)+" is over", time.Minute, func() bool {
				phase := c.phase(jobID)
				return (phase == protocol.PhaseCancelled || phase == protocol.PhaseDone) && len(c.env.MachinesOf(jobID)) == 0
			})
		case job.Kind == protocol.KindService:
			c.until(string(jobID)+" runs", 3*time.Minute, func() bool { return len(c.env.MachinesOf(jobID)) == job.Tasks })
		default:
			c.untilDone(6*time.Minute, jobID)
		}
	}
	time.Sleep(time.Minute)
}
