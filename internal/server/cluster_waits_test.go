package server

import (
	"slices"
	"sync"
	"time"

	"marblehaven/internal/protocol"
)

// until waits until a condition holds, and fails the test if the condition does not hold
// within the limit.
func (c *testCluster) until(description string, limit time.Duration, condition func() bool) {
	c.t.Helper()
	for start := time.Now(); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Since(start) > limit {
			c.t.Fatalf("did not hold within %v: %s", limit, description)
		}
	}
}

// untilElsewhere waits until all replicas of a service run, none of them on the given
// machine.
func (c *testCluster) untilElsewhere(jobID protocol.JobID, replicas int, machine string, limit time.Duration) {
	c.t.Helper()
	c.until("all replicas run on other machines", limit, func() bool {
		machines := c.env.MachinesOf(jobID)
		return len(machines) == replicas && !slices.Contains(machines, machine)
	})
}

// untilDone waits until status requests for all the jobs answer that they are done.
func (c *testCluster) untilDone(limit time.Duration, jobIDs ...protocol.JobID) {
	c.t.Helper()
	for _, jobID := range jobIDs {
		c.until(string(jobID)+" is done", limit, func() bool { time.Sleep(time.Second); return c.phase(jobID) == protocol.PhaseDone })
	}
}

// untilCancelled waits until status requests for all the jobs answer that they are
// cancelled.
func (c *testCluster) untilCancelled(limit time.Duration, jobIDs ...protocol.JobID) {
	c.t.Helper()
	for _, jobID := range jobIDs {
		c.until(string(jobID)+" is cancelled", limit, func() bool { return c.phase(jobID) == protocol.PhaseCancelled })
	}
}

// untilAnotherLeads waits until a controller other than the one named old leads, and returns
// the name of the new leader's controller. The controller named old possibly still acts as
// leader at that time, because it has not yet detected that it has lost the term.
func (c *testCluster) untilAnotherLeads(old string, limit time.Duration) (next string) {
	c.t.Helper()
	c.until("a controller other than the old leader leads", limit, func() bool {
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

// expectStatusAnswers checks that status requests for each accepted job are answered
// within 75 s, as the operators require. It asks about all the jobs at the same time, so
// one without an answer does not delay the others.
func (c *testCluster) expectStatusAnswers(jobIDs ...protocol.JobID) {
	c.t.Helper()
	var wg sync.WaitGroup
	for _, jobID := range jobIDs {
		wg.Go(func() {
			for start := time.Now(); ; time.Sleep(5 * time.Second) {
				if status, _ := c.env.QueryStatus(jobID); status == 200 {
					return
				}
				if time.Since(start) > 75*time.Second {
					c.t.Errorf("no status of %s within 75 s", jobID)
					return
				}
			}
		})
	}
	wg.Wait()
}

// expectRecovery ends all failures and checks that the cluster recovers: status requests for
// every accepted job are answered, cancelled jobs have no tasks on machines, services run,
// and other jobs get done. From the end of the failures on, the environment's checker also
// reports jobs that are left waiting although a machine has capacity for them.
func (c *testCluster) expectRecovery() {
	c.t.Helper()
	c.env.Store.SetUnavailable("", false)
	for _, name := range c.names {
		c.env.Store.SetUnavailable(name, false)
		if !c.isRunning(name) {
			c.boot(name)
		}
	}
	c.env.Store.SetCallDelay(nil)
	c.env.Store.SetExecutionDelay(nil)
	c.env.Store.SetLoseReply(nil)
	c.env.Store.SetLoseEvent(nil)
	c.network.SetDelay(nil)
	c.env.SetCloudDown(false)
	c.heal()
	c.env.EndFaults()
	c.expectStatusAnswers(c.jobs...)
	for _, jobID := range c.jobs {
		job := c.env.Job(jobID)
		switch {
		case c.env.Cancelled(jobID):
			c.until(string(jobID)+" is cancelled or done and has no tasks", time.Minute, func() bool {
				phase := c.phase(jobID)
				return (phase == protocol.PhaseCancelled || phase == protocol.PhaseDone) && len(c.env.MachinesOf(jobID)) == 0
			})
		case job.Kind == protocol.KindService:
			c.until(string(jobID)+" runs all its replicas", 3*time.Minute, func() bool { return len(c.env.MachinesOf(jobID)) == job.Tasks })
		default:
			c.untilDone(6*time.Minute, jobID)
		}
	}
	time.Sleep(time.Minute)
}
