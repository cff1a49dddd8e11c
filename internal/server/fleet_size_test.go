package server

import (
	"testing"
	"time"
)

// With 4,000 machines, whose list has nine pages, work runs on all of them, and goes on
// through a change of leader with a tenth of the machines hanging, and an outage of the
// key-value store that is as long as a leader answers heartbeats in it. The fakes judge it.
func TestFourThousandMachines(t *testing.T) {
	t.Parallel()
	const arrays, tasks = 40, 100
	runIn(t, 901, controllerNames, atFleetSize(), func(c *testCluster) {
		c.env.SetStep(250 * time.Millisecond) // steps of 4,000 machines are most of what the test takes
		c.env.Store.LimitRequests(c.deployment.State.RPS)
		for i := range arrays {
			job := largeArray(1+i, tasks) // a machine for each task
			job.MachineTypes, job.Cores, job.MemGB, job.EstimateS = []string{"big"}, 16, 60, 120
			job.DeadlineS = 180
			job.Team = c.deployment.Teams[i%2].Name
			c.submit(job, 120)
		}
		c.until("all machines run", 4*time.Minute, func() bool { return len(c.env.Machines()) >= fleetSize })
		var ends []func()
		for i, m := range c.env.Machines() {
			if i%10 == 0 {
				ends = append(ends, c.env.Hang(m))
			}
		}
		c.boot(c.killLeader())
		c.until("another node leads", time.Minute, func() bool { return c.leader() != "" })
		time.Sleep(15 * time.Second)
		c.env.Store.Refuse("", true)
		time.Sleep(18 * time.Second)
		c.env.Store.Refuse("", false)
		for _, end := range ends {
			end()
		}
		expiriesBefore := c.env.LeaseExpiries()
		time.Sleep(time.Minute)
		if more := c.env.LeaseExpiries() - expiriesBefore; more > 0 {
			t.Errorf("%d leases expired after the outage", more)
		}
		c.env.EndTroubles()
		c.expectAnswers(c.jobs...)
		c.untilDone(10*time.Minute, c.jobs...)
	})
}
