package server

import (
	"slices"
	"strings"
	"testing"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// TestRunRecordDropsEndedTasks checks that ended tasks are removed from the run record even if
// the job waits for capacity and none of its tasks is started. A new leader must assume that
// every recorded task runs until a leader lease and an agent lease have passed. Until then
// the leader counts the task against the team's quota limit and does not start it again.
func TestRunRecordDropsEndedTasks(t *testing.T) {
	t.Parallel()
	run(t, 360, func(c *testCluster) {
		c.exhaustCapacity()
		c.env.LimitCapacity("small", "a", true, 2)
		c.submit(arrayJob(1, "check", 4), 100)
		c.until("all four tasks run", time.Minute, func() bool { return len(c.env.MachinesOf("req-000001")) == 4 })
		time.Sleep(3 * time.Second)
		c.env.SetCloudDown(true) // no machine can be deprovisioned or provisioned
		c.env.Kill(c.env.MachinesOf("req-000001")[0])
		time.Sleep(20 * time.Second) // the lease of the killed machine has expired
		var record records.RunRecord
		if err := codec.Unmarshal(c.env.Store.Value("o/req-000001/t"), &record); err != nil || len(record.Placements) != 2 || len(c.env.MachinesOf("req-000001")) != 2 {
			t.Errorf("%d tasks are on machines, want 2; the run record has the placements %v, want 2 placements (decoding error: %v)", len(c.env.MachinesOf("req-000001")), record.Placements, err)
		}
		c.expectRecovery()
	})
}

// TestLateSubmitAndCancel checks submissions and cancellations whose commits reach the store
// only after the user has received a reply. Whether such a late commit takes effect is decided
// by its preconditions, and no controller guesses the outcome.
func TestLateSubmitAndCancel(t *testing.T) {
	t.Parallel()
	run(t, 40, func(c *testCluster) {
		follower := controllerNames[(slices.Index(controllerNames, c.leader())+1)%3]
		heal := c.cut(follower, "state", fake.Hold)
		for i := range 6 { // some are sent to the follower that is partitioned from the store
			c.submit(arrayJob(1+i, "check", 2), 10)
		}
		c.env.Cancel("req-000001")
		c.untilDone(3*time.Minute, "req-000002", "req-000003")
		heal() // the commits that the network held arrive now
		time.Sleep(5 * time.Second)
		if phase := c.phase("req-000001"); phase != protocol.PhaseCancelled {
			t.Errorf("the cancelled job req-000001 is reported as %s", phase)
		}
		c.untilDone(3*time.Minute, c.jobs[1:]...)
	})
}

// TestCommitOutcomeUnknown checks that the leader and the controllers that serve users read
// the store to determine the outcome of commits whose answers are lost. Each of these
// commits was executed.
func TestCommitOutcomeUnknown(t *testing.T) {
	t.Parallel()
	run(t, 98, func(c *testCluster) {
		transactions := 0
		c.env.Store.SetLoseReply(func() bool { transactions++; return transactions%3 == 0 })
		for i := range 4 {
			c.submit(arrayJob(1+i, "check", 5), 15)
		}
		c.env.Cancel("req-000004")
		c.untilDone(4*time.Minute, c.jobs[:3]...)
	})
}

// TestProvisioningOutcomeUnknown checks that a provisioning request whose answer is lost is
// sent again with the same request ID, also by the next leader, and that its machines are
// provisioned only once.
func TestProvisioningOutcomeUnknown(t *testing.T) {
	t.Parallel()
	run(t, 100, func(c *testCluster) {
		lost := 0
		c.env.SetLoseCloudReply(func(path string, calls int) bool {
			if path == "/rentals" && calls < 40 && lost < 25 {
				lost++
				return true
			}
			return false
		})
		c.submit(arrayJob(1, "check", 4), 20)
		time.Sleep(8 * time.Second)
		old := c.leader()
		c.kill(old)
		time.Sleep(5 * time.Second)
		c.boot(old)
		c.untilDone(4*time.Minute, "req-000001")
		if n := c.env.MachinesProvisioned(); n > 2 {
			t.Errorf("%d machines were provisioned for 4 tasks that need half a machine each, want at most 2", n)
		}
	})
}

// TestUnreadableRunRecord checks that a new leader does not treat a run record that cannot be
// decoded as empty. Tasks that the record named can still be running, and the leader would
// start them a second time.
func TestUnreadableRunRecord(t *testing.T) {
	t.Parallel()
	run(t, 130, func(c *testCluster) {
		c.submit(arrayJob(1, "check", 8), 40)
		c.until("at least two tasks run", 2*time.Minute, func() bool { return len(c.env.MachinesOf("req-000001")) >= 2 })
		old := c.leader()
		// This machine continues its tasks, but no heartbeat of it reaches the next leader.
		heal := c.isolate(c.env.MachinesOf("req-000001")[0], fake.Hold, c.names...)
		c.kill(old)
		c.env.Store.Corrupt("o/req-000001/t")
		c.boot(old)
		time.Sleep(20 * time.Second)
		heal()
		c.expectStatusAnswers("req-000001")
		c.untilDone(5*time.Minute, "req-000001")
	})
}

// TestRecordChangedBehindLeader checks that the cluster recovers after something other than
// the leader has changed a run record. The leader's precondition on that record then makes all
// of its commits fail, those of other jobs included. The leader must recover, so that the
// commits do not fail without end. A record was once changed in this way when the network
// repeated requests that had been refused.
func TestRecordChangedBehindLeader(t *testing.T) {
	t.Parallel()
	run(t, 137, func(c *testCluster) {
		c.submit(arrayJob(1, "check", 8), 30)
		c.until("at least two tasks run", 2*time.Minute, func() bool { return len(c.env.MachinesOf("req-000001")) >= 2 })
		c.env.Store.Corrupt("o/req-000001/t")
		c.submit(arrayJob(2, "check", 4), 10)
		c.untilDone(3*time.Minute, "req-000001", "req-000002")
	})
}

// TestUnreadableJobRecord checks that users get an answer about a job whose open record
// cannot be decoded. Since the record exists, the job was accepted, so the answer must not be
// that the job is unknown. A controller must not refuse every status query for the job either.
func TestUnreadableJobRecord(t *testing.T) {
	t.Parallel()
	run(t, 131, func(c *testCluster) {
		c.submit(arrayJob(1, "check", 2), 20)
		c.env.Store.Corrupt("o/req-000001")
		c.expectStatusAnswers("req-000001")
	})
}

// TestLostWatchEvents checks that a lost watch event neither leaves an accepted job queued
// nor a cancelled job running.
func TestLostWatchEvents(t *testing.T) {
	t.Parallel()
	run(t, 132, func(c *testCluster) {
		c.submit(serviceJob(1, 2), 0)
		c.until("both replicas run", 2*time.Minute, func() bool { return len(c.env.MachinesOf("req-000001")) == 2 })
		c.env.Store.SetLoseEvent(func(key string) bool { return strings.HasPrefix(key, "o/") })
		c.submit(arrayJob(2, "check", 2), 5)
		c.env.Cancel("req-000001")
		c.untilDone(2*time.Minute, "req-000002")
		c.until("no machine has tasks of the cancelled job", 10*time.Second, func() bool { return len(c.env.MachinesOf("req-000001")) == 0 })
	})
}
