package server

import (
	"slices"
	"testing"
	"time"

	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// changesAll reports whether a transaction sets or deletes all the given keys.
func changesAll(txn *protocol.Transaction, keys ...string) bool {
	for _, key := range keys {
		if !slices.ContainsFunc(txn.Mutations, func(mutation protocol.Mutation) bool { return mutation.Set == key || mutation.Delete == key }) {
			return false
		}
	}
	return true
}

// loseThenRefuseCommit makes two of the leader's transactions fail:
//   - The first one that changes firstKey is executed without an answer. When the leader
//     sends it again, it is refused as beyond the limits, as if these had become smaller
//     in between. The returned channel is closed when this first transaction is refused.
//   - The first one after that which changes both firstKey and secondKey is lost and not
//     executed.
func (c *testCluster) loseThenRefuseCommit(firstKey, secondKey string) (refused <-chan struct{}) {
	const ( // the fault that was injected last
		noFault = iota
		firstExecuted
		firstRefused
		secondLost
	)
	progress := noFault
	ch := make(chan struct{})
	c.env.Store.SetFault(func(txn *protocol.Transaction) fake.Fault {
		switch {
		case progress == noFault && changesAll(txn, firstKey):
			progress = firstExecuted
			return fake.AnswerLost
		case progress == firstExecuted && changesAll(txn, firstKey):
			progress = firstRefused
			close(ch)
			return fake.OverLimit
		case progress == firstRefused && changesAll(txn, firstKey, secondKey):
			progress = secondLost
			return fake.NotExecuted
		}
		return fake.NoFault
	})
	return ch
}

// cancelWithoutEvent cancels a job while the watch loses the event of the cancellation, so
// that the leader does not receive it.
func (c *testCluster) cancelWithoutEvent(jobID protocol.JobID) protocol.JobStatus {
	c.env.Store.SetLoseEvent(func(key string) bool { return key == records.OpenKey(jobID) })
	_, status := c.env.Cancel(jobID)
	return status
}

// TestStartsWithoutRecord checks that the leader does not treat a lost transaction as executed
// if the transaction before it was executed without an answer and then refused when the
// leader sent it again. An earlier version made this mistake and sent starts that no record
// named, so that the next leader had no information about the tasks.
func TestStartsWithoutRecord(t *testing.T) {
	t.Parallel()
	runInDeployment(t, 901, controllerNames, largeArrayDeployment(), func(c *testCluster) {
		c.untilNewFormatUsed(20 * time.Second)
		c.submit(arrayJob(1, "warm", 2), 300) // so that a machine is provisioned
		c.until("both warm-up tasks run", 2*time.Minute, func() bool { return len(c.env.MachinesOf(testJobID(1))) == 2 })
		refused := c.loseThenRefuseCommit(records.SegmentKey(testJobID(2), 0), records.SegmentKey(testJobID(3), 0))
		c.submit(largeArray(2, 1), 30)
		<-refused
		c.submit(largeArray(3, 1), 30)
		time.Sleep(4 * time.Second)
		c.killLeader()
		c.untilDone(4*time.Minute, testJobID(2), testJobID(3))
	})
}

// TestStartsAfterCancellation checks the same for a job that is cancelled before its start is
// recorded: no task of it starts after the cancellation was confirmed to the user.
func TestStartsAfterCancellation(t *testing.T) {
	t.Parallel()
	runInDeployment(t, 902, controllerNames, largeArrayDeployment(), func(c *testCluster) {
		c.untilNewFormatUsed(20 * time.Second)
		c.submit(arrayJob(1, "warm", 2), 300)
		c.until("both warm-up tasks run", 2*time.Minute, func() bool { return len(c.env.MachinesOf(testJobID(1))) == 2 })
		refused := c.loseThenRefuseCommit(records.SegmentKey(testJobID(2), 0), records.SegmentKey(testJobID(3), 0))
		c.submit(largeArray(2, 1), 30)
		<-refused
		c.submit(largeArray(3, 1), 300)
		time.Sleep(100 * time.Millisecond) // so that its start is about to be recorded
		if jobStatus := c.cancelWithoutEvent(testJobID(3)); jobStatus.Phase != protocol.PhaseCancelled {
			t.Fatalf("the job was cancelled just before its start was recorded, and is reported as %s, want cancelled", jobStatus.Phase)
		}
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			if machines := c.env.MachinesOf(testJobID(3)); len(machines) > 0 {
				t.Errorf("tasks of a cancelled job were started on %s", machines)
				break
			}
		}
		c.untilDone(4*time.Minute, testJobID(2))
	})
}

// TestJobClosedWithoutRecord checks the same for a lost transaction that closes a job. An
// earlier version treated the transaction as executed and the job as done, although the job's
// cancellation had been confirmed to the user, and started the job that depends on it.
func TestJobClosedWithoutRecord(t *testing.T) {
	t.Parallel()
	runInDeployment(t, 903, controllerNames, largeArrayDeployment(), func(c *testCluster) {
		c.untilNewFormatUsed(20 * time.Second)
		refused := c.loseThenRefuseCommit(records.FinalKey(testJobID(1)), records.FinalKey(testJobID(2)))
		c.submit(largeArray(1, 1), 10)
		c.submit(largeArray(2, 1), 10.5)
		c.submit(dependingOn(arrayJob(3, "stage", 2), testJobID(2)), 60)
		<-refused // the second job ends shortly afterwards
		if jobStatus := c.cancelWithoutEvent(testJobID(2)); jobStatus.Phase != protocol.PhaseCancelled {
			t.Fatalf("the job was cancelled as its last task ended, and is reported as %s, want cancelled", jobStatus.Phase)
		}
		time.Sleep(time.Minute)
		if machines := c.env.MachinesOf(testJobID(3)); len(machines) > 0 {
			t.Errorf("tasks of a job that depends on a cancelled one were started on %s", machines)
		}
		c.untilCancelled(10*time.Second, testJobID(2), testJobID(3))
	})
}
