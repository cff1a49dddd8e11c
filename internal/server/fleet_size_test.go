package server

import (
	"testing"
	"time"
)

// TestFourThousandMachines checks that tasks run on all of 4,000 machines, whose list has
// nine pages. The tasks keep running through a change of the leader with a tenth of the
// machines hanging, and through an outage of the key-value store that is as long as the
// leader lease, the time for which a leader answers heartbeats without the store. The checker
// of package fake compares what happens with the rules.
func TestFourThousandMachines(t *testing.T) {
	t.Parallel()
	const arrays, tasks = 40, 100
	runInDeployment(t, 901, controllerNames, fleetSizeDeployment(), func(c *testCluster) {
		c.env.SetStep(250 * time.Millisecond) // advancing the tasks of 4,000 machines takes most of the time of the test
		c.env.Store.LimitRequests(c.deployment.State.RPS)
		for i := range arrays {
			job := largeArray(1+i, tasks) // each task needs a whole machine
			job.MachineTypes, job.Cores, job.MemGB, job.EstimateS = []string{"big"}, 16, 60, 120
			job.DeadlineS = 180
			job.Team = c.deployment.Teams[i%2].Name
			c.submit(job, 120)
		}
		c.until("all machines are up", 4*time.Minute, func() bool { return len(c.env.Machines()) >= fleetSize })
		var resumeFuncs []func()
		for i, machine := range c.env.Machines() {
			if i%10 == 0 {
				resumeFuncs = append(resumeFuncs, c.env.Hang(machine))
			}
		}
		c.boot(c.killLeader())
		c.until("another controller leads", time.Minute, func() bool { return c.leader() != "" })
		time.Sleep(15 * time.Second)
		c.env.Store.SetUnavailable("", true)
		time.Sleep(18 * time.Second)
		c.env.Store.SetUnavailable("", false)
		for _, resume := range resumeFuncs {
			resume()
		}
		expiriesBefore := c.env.LeaseExpiriesWithTasks()
		time.Sleep(time.Minute)
		if more := c.env.LeaseExpiriesWithTasks() - expiriesBefore; more > 0 {
			t.Errorf("%d leases of agents with tasks expired after the outage, want none", more)
		}
		c.env.EndFaults()
		c.expectStatusAnswers(c.jobs...)
		c.untilDone(10*time.Minute, c.jobs...)
	})
}
