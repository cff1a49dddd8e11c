package server

import (
	"time"

	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
)

// slowWatch delays the watch calls at the key-value store, as a loaded store does, so that
// no watch reports the cancellation that follows to the leader before the outage begins.
func slowWatch(c *testCluster) {
	c.env.Store.SetCallDelay(func(path string) time.Duration {
		if path == "/follow" {
			return 1400 * time.Millisecond
		}
		return 0
	})
	time.Sleep(2 * time.Second)
}

// cancelAtLeader cancels at the leader, whose watch does not report the cancellation.
func cancelAtLeader(c *testCluster, leader string) {
	slowWatch(c)
	c.cancelAt(leader, "req-000001")
}

// cancelAtFollower cancels at a follower.
func cancelAtFollower(c *testCluster, leader string) {
	slowWatch(c)
	c.cancelAt(c.others(leader)[0], "req-000001")
}

// readCancellationAtLeader makes the leader confirm a cancellation that another controller
// committed. That controller is killed before it can reply to the user, who then asks the
// leader, and the leader reads the cancelled record from the store.
func readCancellationAtLeader(c *testCluster, leader string) {
	slowWatch(c)
	// Without a reply from the store, this controller does not confirm the cancellation.
	follower := c.others(leader)[0]
	c.env.Store.SetLoseReply(func() bool { return true })
	c.env.SetAskedNodes(c.addressOf(follower))
	go c.env.Cancel("req-000001")
	time.Sleep(30 * time.Millisecond)
	c.env.Store.SetLoseReply(nil)
	c.kill(follower)
	c.env.SetAskedNodes(c.addressOf(leader))
	c.until("the leader reports req-000001 as cancelled", time.Second, func() bool { return c.phase("req-000001") == protocol.PhaseCancelled })
	c.env.SetAskedNodes()
	c.boot(follower)
}

// cancelAtRestartedController cancels at a follower and restarts it at once. The list of
// the cancellations that it confirmed is in memory only and is lost.
func cancelAtRestartedController(c *testCluster, leader string) {
	slowWatch(c)
	follower := c.others(leader)[0]
	c.cancelAt(follower, "req-000001")
	c.kill(follower)
	c.boot(follower)
}

// cancelAtControllerRestartedTwice cancels at a follower and restarts it once before the
// outage. restartFollowerInOutage restarts the same follower again during the outage.
func cancelAtControllerRestartedTwice(c *testCluster, leader string) {
	slowWatch(c)
	follower := c.others(leader)[0]
	c.cancelAt(follower, "req-000001")
	c.kill(follower)
	time.Sleep(200 * time.Millisecond)
	c.boot(follower)
}

// restartFollowerInOutage restarts, during the outage, the follower that confirmed the
// cancellation.
func restartFollowerInOutage(c *testCluster, leader string) {
	follower := c.others(leader)[0]
	time.Sleep(5 * time.Second)
	c.kill(follower)
	time.Sleep(1500 * time.Millisecond)
	c.boot(follower)
}

// cancelAtControllerWithLateAnswers cancels at a follower whose messages to the leader are
// delayed. When the leader asks for the confirmed cancellations, the follower answers
// before it confirms this one, and its answer arrives afterwards.
func cancelAtControllerWithLateAnswers(c *testCluster, leader string) {
	slowWatch(c)
	follower := c.others(leader)[0]
	c.network.SetDelay(func(from, to string) time.Duration {
		if from == follower && to == leader {
			return 900 * time.Millisecond
		}
		return 0
	})
	time.Sleep(500 * time.Millisecond) // the leader asks and the follower answers, both before the cancellation
	c.cancelAt(follower, "req-000001")
}

// cancelAtPartitionedController cancels at a follower and then partitions it from all
// other controllers.
func cancelAtPartitionedController(c *testCluster, leader string) {
	slowWatch(c)
	follower := c.others(leader)[0]
	c.cancelAt(follower, "req-000001")
	c.isolate(follower, fake.Hold, c.others(follower)...)
}

// cancelByLateCommit cancels at a follower while the store executes the next transaction 3 s
// late and loses the watch event of the cancellation.
func cancelByLateCommit(c *testCluster, leader string) {
	follower := c.others(leader)[0]
	transactions := 0
	c.env.Store.SetExecutionDelay(func() time.Duration {
		if transactions++; transactions == 1 {
			return 3 * time.Second
		}
		return 0
	})
	c.env.Store.SetLoseEvent(func(key string) bool { return key == "o/req-000001" })
	c.cancelAt(follower, "req-000001")
}

// cancelAsStoreRefusesLeader cancels at a follower while the key-value store refuses the
// leader only.
func cancelAsStoreRefusesLeader(c *testCluster, leader string) {
	c.env.Store.SetUnavailable(leader, true)
	c.cancelAt(c.others(leader)[0], "req-000001")
}

// cancelAsLeaderIsPartitioned cancels at a follower while the leader reaches neither the
// key-value store nor the other controllers.
func cancelAsLeaderIsPartitioned(c *testCluster, leader string) {
	c.env.Store.SetUnavailable(leader, true)
	c.isolate(leader, fake.Hold, c.others(leader)...)
	c.cancelAt(c.others(leader)[0], "req-000001")
}

// cancelAtNextLeader cancels at the leader that takes over before the outage, after the
// key-value store has refused the previous one.
func cancelAtNextLeader(c *testCluster, leader string) {
	c.env.Store.SetUnavailable(leader, true)
	next := c.untilAnotherLeads(leader, 10*time.Second)
	slowWatch(c)
	c.cancelAt(next, "req-000001")
}
