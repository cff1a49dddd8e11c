package server

import (
	"slices"
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

// cancellationOutage is an order of a cancellation's confirmation and the events around it.
type cancellationOutage struct {
	name string
	// cancel leads up to the outage, in which job 1 must be confirmed as cancelled.
	cancel func(c *testCluster, leader string)
	// duringOutage is what else happens after the outage began.
	duringOutage func(c *testCluster, leader string)
	// goesOn says that all controllers can name the cancelled jobs, so that
	// the other jobs go on.
	othersContinue bool
}

// A cancellation is confirmed to its user around the time at which the key-value store
// is lost, for longer than cancel_s, while the agents go on sending heartbeats to the
// leader of before. In every order of these events the job's tasks are gone
// within cancel_s: the leader may answer heartbeats only for the length of the leader
// lease after a time up to which it knows every cancellation that any controller, itself included, has
// confirmed. Where the controllers can name the jobs, it stops just those and all
// else runs on.
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
				run(t, 200+seed, func(c *testCluster) { tc.play(c, seed) })
			}
		})
	}
}

// play cancels the first of three jobs around the start of an outage of 70 s.
func (tc cancellationOutage) play(c *testCluster, seed uint64) {
	c.submit(serviceJob(1, 2), 0)
	c.submit(serviceJob(2, 2), 0)
	c.submit(arrayJob(3, "check", 6), 400)
	c.until("all run", 2*time.Minute, func() bool {
		return len(c.env.MachinesOf("req-000001")) == 2 && len(c.env.MachinesOf("req-000002")) == 2 && len(c.env.MachinesOf("req-000003")) == 6
	})
	time.Sleep(20*time.Second + time.Duration(seed)*370*time.Millisecond)
	keep := c.env.MachinesOf("req-000002")
	expiriesBefore := c.env.LeaseExpiries()
	leader := c.leader()
	tc.cancel(c, leader)
	c.env.Store.Refuse("", true)
	c.env.Store.SetSlow(nil)
	if tc.duringOutage != nil {
		tc.duringOutage(c, leader)
	}
	termBefore := c.latestTerm()
	time.Sleep(70 * time.Second)
	tc.checkDuringOutage(c, keep, expiriesBefore)
	c.env.Store.Refuse(leader, false)
	c.env.Store.Refuse("", false)
	c.heal()
	time.Sleep(15 * time.Second)
	tc.checkAfterOutage(c, termBefore)
}

// checkDuringOutage judges that the cancelled job is gone and, where the leader could
// know which job that is, that the other service was left alone on its machines.
func (tc cancellationOutage) checkDuringOutage(c *testCluster, keep []string, expiriesBefore int) {
	c.t.Helper()
	if on := c.env.MachinesOf("req-000001"); len(on) > 0 {
		c.t.Errorf("cancelled, still on %v", on)
	}
	if on := c.env.MachinesOf("req-000002"); tc.othersContinue && (!slices.Equal(on, keep) || c.env.LeaseExpiries() > expiriesBefore) {
		c.t.Errorf("%d leases expired; the other service was on %v and is on %v", c.env.LeaseExpiries()-expiriesBefore, keep, on)
	}
}

// checkAfterOutage judges that all jobs are known and the other service runs. Records
// that are behind what the controllers say must not make the leader's writes fail until
// it gives up the term.
func (tc cancellationOutage) checkAfterOutage(c *testCluster, termBefore protocol.Term) {
	c.t.Helper()
	if n := c.latestTerm() - termBefore; tc.othersContinue && n > 0 {
		c.t.Errorf("%d terms more", n)
	}
	c.expectAnswers(c.jobs...)
	c.until("the other service runs", 2*time.Minute, func() bool { return len(c.env.MachinesOf("req-000002")) == 2 })
}
