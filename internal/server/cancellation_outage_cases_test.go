package server

import (
	"time"

	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
)

// slowWatch makes the leader's watch calls slow, as calls now and then are, so that
// they do not bring it a confirmation any more until nothing is served.
func slowWatch(c *testCluster) {
	c.env.Store.SetSlow(func(path string) time.Duration {
		if path == "/follow" {
			return 1400 * time.Millisecond
		}
		return 0
	})
	time.Sleep(2 * time.Second)
}

// cancelAtLeader cancels at the leader, whose watch does not bring the cancellation.
func cancelAtLeader(c *testCluster, leader string) {
	slowWatch(c)
	c.cancelAt(leader, "req-000001")
}

// cancelAtFollower cancels at a controller that does not lead.
func cancelAtFollower(c *testCluster, leader string) {
	slowWatch(c)
	c.cancelAt(c.others(leader)[0], "req-000001")
}

// readCancellationAtLeader lets a user learn of the cancellation from the leader's reading:
// the controller that committed it ends before it can answer.
func readCancellationAtLeader(c *testCluster, leader string) {
	slowWatch(c)
	// The one that committed it ends before it can answer.
	other := c.others(leader)[0]
	c.env.Store.SetLoseReply(func() bool { return true })
	c.env.SetAskedNodes(c.addressOf(other))
	go c.env.Cancel("req-000001")
	time.Sleep(30 * time.Millisecond)
	c.env.Store.SetLoseReply(nil)
	c.kill(other)
	c.env.SetAskedNodes(c.addressOf(leader))
	c.until("it is called cancelled", time.Second, func() bool { return c.phase("req-000001") == protocol.PhaseCancelled })
	c.env.SetAskedNodes()
	c.boot(other)
}

// cancelAtRestartedController restarts the controller that confirmed, which forgets it.
func cancelAtRestartedController(c *testCluster, leader string) {
	slowWatch(c)
	other := c.others(leader)[0]
	c.cancelAt(other, "req-000001")
	c.kill(other)
	c.boot(other)
}

// cancelAtControllerRestartedTwice restarts that controller once before the outage;
// restartFollowerInOutage does so again during it.
func cancelAtControllerRestartedTwice(c *testCluster, leader string) {
	slowWatch(c)
	other := c.others(leader)[0]
	c.cancelAt(other, "req-000001")
	c.kill(other)
	time.Sleep(200 * time.Millisecond)
	c.boot(other)
}

// restartFollowerInOutage restarts the controller that confirmed, during the outage.
func restartFollowerInOutage(c *testCluster, leader string) {
	other := c.others(leader)[0]
	time.Sleep(5 * time.Second)
	c.kill(other)
	time.Sleep(1500 * time.Millisecond)
	c.boot(other)
}

// cancelAtControllerWithLateAnswers delays the answers of the controller that confirms: it
// answers the leader's question before it confirms.
func cancelAtControllerWithLateAnswers(c *testCluster, leader string) {
	slowWatch(c)
	other := c.others(leader)[0]
	c.network.SetDelay(func(from, to string) time.Duration {
		if from == other && to == leader {
			return 900 * time.Millisecond
		}
		return 0
	})
	time.Sleep(500 * time.Millisecond) // it is asked, and answers before it confirms
	c.cancelAt(other, "req-000001")
}

// cancelAtPartitionedController cuts the controller that confirmed off from its peers.
func cancelAtPartitionedController(c *testCluster, leader string) {
	slowWatch(c)
	other := c.others(leader)[0]
	c.cancelAt(other, "req-000001")
	c.isolate(other, fake.Hold, c.others(other)...)
}

// cancelByLateCommit makes the store execute the cancellation late and lose its event.
func cancelByLateCommit(c *testCluster, leader string) {
	other := c.others(leader)[0]
	n := 0
	c.env.Store.SetLate(func() time.Duration {
		if n++; n == 1 {
			return 3 * time.Second
		}
		return 0
	})
	c.env.Store.SetLoseEvent(func(key string) bool { return key == "o/req-000001" })
	c.cancelAt(other, "req-000001")
}

// cancelAsStoreRefusesLeader cancels while the key-value store refuses the leader only.
func cancelAsStoreRefusesLeader(c *testCluster, leader string) {
	c.env.Store.Refuse(leader, true)
	c.cancelAt(c.others(leader)[0], "req-000001")
}

// cancelAsLeaderIsPartitioned cancels while the leader reaches neither store nor peers.
func cancelAsLeaderIsPartitioned(c *testCluster, leader string) {
	c.env.Store.Refuse(leader, true)
	c.isolate(leader, fake.Hold, c.others(leader)...)
	c.cancelAt(c.others(leader)[0], "req-000001")
}

// cancelAtNextLeader cancels at the leader that took over before the outage.
func cancelAtNextLeader(c *testCluster, leader string) {
	c.env.Store.Refuse(leader, true)
	next := c.untilAnotherLeads(leader, 10*time.Second)
	slowWatch(c)
	c.cancelAt(next, "req-000001")
}
