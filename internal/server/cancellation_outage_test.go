package server

import (
	"slices"
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

// cancellationOutage is one order of the events around an outage of the key-value store: a
// job is cancelled just before the outage, with other failures before or during it.
type cancellationOutage struct {
	name string
	// cancel runs just before the outage. When it returns, a controller has confirmed to
	// the user that job 1 is cancelled.
	cancel func(c *testCluster, leader string)
	// duringOutage causes further failures after the outage has begun; nil: none.
	duringOutage func(c *testCluster, leader string)
	// othersContinue is set if the leader can get the confirmed cancellations from all
	// controllers during the outage, so that the other jobs must keep running.
	othersContinue bool
}

// TestCancellationBeforeOutage checks that no task of a cancelled job runs for longer than
// cancel_s after the job's cancellation was confirmed to the user. Right after the confirmation
// the key-value store fails for longer than cancel_s, while the agents keep sending heartbeats
// to the same leader.
//
// An answered heartbeat renews the agent's lease. The leader answers heartbeats only while
// its leader lease lasts. The leader lease starts at the latest time for which the leader has
// received every cancellation that any controller, its own included, had confirmed by then. If
// the leader can get these cancellations from all controllers, it stops only the cancelled
// jobs, and all others keep running.
func TestCancellationBeforeOutage(t *testing.T) {
	t.Parallel()
	for _, tc := range []cancellationOutage{
		{name: "by the leader itself", cancel: cancelAtLeader, othersContinue: true},
		{name: "by another", cancel: cancelAtFollower, othersContinue: true},
		{name: "read at the leader", cancel: readCancellationAtLeader},
		{name: "by one that restarts at once", cancel: cancelAtRestartedController},
		{name: "by one that restarts twice", cancel: cancelAtControllerRestartedTwice, duringOutage: restartFollowerInOutage},
		{name: "by one whose answers come late", cancel: cancelAtControllerWithLateAnswers, othersContinue: true},
		{name: "by one that is cut off then", cancel: cancelAtPartitionedController},
		{name: "carried out late and read elsewhere", cancel: cancelByLateCommit, othersContinue: true},
		{name: "while the leader alone is refused", cancel: cancelAsStoreRefusesLeader, othersContinue: true},
		{name: "while the leader alone is refused and hears no peer", cancel: cancelAsLeaderIsPartitioned},
		{name: "by the next leader before the outage", cancel: cancelAtNextLeader, othersContinue: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(3) {
				run(t, 200+seed, func(c *testCluster) { tc.runScenario(c, seed) })
			}
		})
	}
}

// runScenario cancels the first of three jobs just before an outage of the key-value store of
// 70 s, and checks the machines and the users' view during and after the outage.
func (tc cancellationOutage) runScenario(c *testCluster, seed uint64) {
	c.submit(serviceJob(1, 2), 0)
	c.submit(serviceJob(2, 2), 0)
	c.submit(arrayJob(3, "check", 6), 400)
	c.until("all tasks of the three jobs run", 2*time.Minute, func() bool {
		return len(c.env.MachinesOf("req-000001")) == 2 && len(c.env.MachinesOf("req-000002")) == 2 && len(c.env.MachinesOf("req-000003")) == 6
	})
	time.Sleep(20*time.Second + time.Duration(seed)*370*time.Millisecond)
	machinesBefore := c.env.MachinesOf("req-000002")
	expiriesBefore := c.env.LeaseExpiriesWithTasks()
	leader := c.leader()
	tc.cancel(c, leader)
	c.env.Store.SetUnavailable("", true)
	c.env.Store.SetCallDelay(nil)
	if tc.duringOutage != nil {
		tc.duringOutage(c, leader)
	}
	termBefore := c.latestTerm()
	time.Sleep(70 * time.Second)
	tc.checkDuringOutage(c, machinesBefore, expiriesBefore)
	c.env.Store.SetUnavailable(leader, false)
	c.env.Store.SetUnavailable("", false)
	c.heal()
	time.Sleep(15 * time.Second)
	tc.checkAfterOutage(c, termBefore)
}

// checkDuringOutage checks that no machine runs the cancelled job. If othersContinue is set,
// it also checks that the other service is still on the same machines and that no lease of
// an agent with tasks has expired.
func (tc cancellationOutage) checkDuringOutage(c *testCluster, machinesBefore []string, expiriesBefore int) {
	c.t.Helper()
	if machines := c.env.MachinesOf("req-000001"); len(machines) > 0 {
		c.t.Errorf("the cancelled job req-000001 still has tasks on %v", machines)
	}
	if machines := c.env.MachinesOf("req-000002"); tc.othersContinue && (!slices.Equal(machines, machinesBefore) || c.env.LeaseExpiriesWithTasks() > expiriesBefore) {
		c.t.Errorf("%d leases expired in the outage; the service req-000002 ran on %v before it and now runs on %v", c.env.LeaseExpiriesWithTasks()-expiriesBefore, machinesBefore, machines)
	}
}

// checkAfterOutage checks that users get answers about all jobs and that the other service
// runs. If othersContinue is set, it also checks that the term has not changed. During the
// outage the leader stops the jobs that the controllers report as cancelled, although it has
// not read their changed records. If its writes after the outage kept failing on these
// records, it would give up its term.
func (tc cancellationOutage) checkAfterOutage(c *testCluster, termBefore protocol.Term) {
	c.t.Helper()
	if n := c.latestTerm() - termBefore; tc.othersContinue && n > 0 {
		c.t.Errorf("%d new terms since the start of the outage, want none", n)
	}
	c.expectStatusAnswers(c.jobs...)
	c.until("both replicas of the service req-000002 run", 2*time.Minute, func() bool { return len(c.env.MachinesOf("req-000002")) == 2 })
}
