package server

import (
	"slices"
	"testing"
	"time"

	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// changesAll tells whether a transaction changes all the keys.
func changesAll(txn *protocol.Transaction, keys ...string) bool {
	for _, key := range keys {
		if !slices.ContainsFunc(txn.Mutations, func(mutation protocol.Mutation) bool { return mutation.Set == key || mutation.Delete == key }) {
			return false
		}
	}
	return true
}

// loseThenRefuseCommit makes the leader's transaction that changes the key first be carried out
// without an answer, and the same be refused as beyond the limits when it is sent
// again, as when these have become smaller in between. After that the first that
// changes both keys is lost on its way. The channel is closed when the first
// transaction is refused.
func (c *testCluster) loseThenRefuseCommit(first, second string) (refused <-chan struct{}) {
	const ( // what has come about
		nothing = iota
		carriedOut
		refusedOnce
		lostOnce
	)
	at := nothing
	ch := make(chan struct{})
	c.env.Store.SetFault(func(txn *protocol.Transaction) fake.Fault {
		switch {
		case at == nothing && changesAll(txn, first):
			at = carriedOut
			return fake.AnswerLost
		case at == carriedOut && changesAll(txn, first):
			at = refusedOnce
			close(ch)
			return fake.OverLimit
		case at == refusedOnce && changesAll(txn, first, second):
			at = lostOnce
			return fake.NotExecuted
		}
		return fake.None
	})
	return ch
}

// cancelWithoutEvent cancels a job without the leader's hearing of it by an event.
func (c *testCluster) cancelWithoutEvent(jobID protocol.JobID) protocol.JobStatus {
	c.env.Store.SetLoseEvent(func(key string) bool { return key == records.OpenKey(jobID) })
	_, status := c.env.Cancel(jobID)
	return status
}

// A transaction whose answer was lost is refused when it is sent again, though it was
// carried out. What the leader then takes for the outcome of its next transaction must
// be true: believing that one to be carried out it sent starts that no record names,
// which the next leader knows nothing of.
func TestStartsWithoutRecord(t *testing.T) {
	t.Parallel()
	runIn(t, 901, controllerNames, largeArrayDeployment(), func(c *testCluster) {
		c.untilUpgraded(20 * time.Second)
		c.submit(arrayJob(1, "warm", 2), 300) // so that there is a machine
		c.until("a machine runs", 2*time.Minute, func() bool { return len(c.env.MachinesOf(testJobID(1))) == 2 })
		refused := c.loseThenRefuseCommit(records.SegmentKey(testJobID(2), 0), records.SegmentKey(testJobID(3), 0))
		c.submit(largeArray(2, 1), 30)
		<-refused
		c.submit(largeArray(3, 1), 30)
		time.Sleep(4 * time.Second)
		c.killLeader()
		c.untilDone(4*time.Minute, testJobID(2), testJobID(3))
	})
}

// The same with a job that is cancelled before its start is recorded: it is not
// started after its user was told.
func TestStartsAfterCancellation(t *testing.T) {
	t.Parallel()
	runIn(t, 902, controllerNames, largeArrayDeployment(), func(c *testCluster) {
		c.untilUpgraded(20 * time.Second)
		c.submit(arrayJob(1, "warm", 2), 300)
		c.until("a machine runs", 2*time.Minute, func() bool { return len(c.env.MachinesOf(testJobID(1))) == 2 })
		refused := c.loseThenRefuseCommit(records.SegmentKey(testJobID(2), 0), records.SegmentKey(testJobID(3), 0))
		c.submit(largeArray(2, 1), 30)
		<-refused
		c.submit(largeArray(3, 1), 300)
		time.Sleep(100 * time.Millisecond) // its start is about to be recorded
		if st := c.cancelWithoutEvent(testJobID(3)); st.Phase != protocol.PhaseCancelled {
			t.Fatalf("a job cancelled at its start is %s", st.Phase)
		}
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			if on := c.env.MachinesOf(testJobID(3)); len(on) > 0 {
				t.Errorf("a cancelled job is started on %s", on)
				break
			}
		}
		c.untilDone(4*time.Minute, testJobID(2))
	})
}

// The same with the transaction that closes a job: believing it to be carried out the
// leader took a job for done that its user was told is cancelled, and started the job
// that waits for it.
func TestJobClosedWithoutRecord(t *testing.T) {
	t.Parallel()
	runIn(t, 903, controllerNames, largeArrayDeployment(), func(c *testCluster) {
		c.untilUpgraded(20 * time.Second)
		refused := c.loseThenRefuseCommit(records.FinalKey(testJobID(1)), records.FinalKey(testJobID(2)))
		c.submit(largeArray(1, 1), 10)
		c.submit(largeArray(2, 1), 10.5)
		c.submit(dependingOn(arrayJob(3, "stage", 2), testJobID(2)), 60)
		<-refused // and the second job ends in a moment
		if st := c.cancelWithoutEvent(testJobID(2)); st.Phase != protocol.PhaseCancelled {
			t.Fatalf("a job cancelled at its end is %s", st.Phase)
		}
		time.Sleep(time.Minute)
		if on := c.env.MachinesOf(testJobID(3)); len(on) > 0 {
			t.Errorf("a job that waits for a cancelled one is started on %s", on)
		}
		c.untilCancelled(10*time.Second, testJobID(2), testJobID(3))
	})
}
