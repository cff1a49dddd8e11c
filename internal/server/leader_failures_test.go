package server

import (
	"bytes"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
)

// TestFailoverDuringPlacement kills the leader after it has recorded placements and before
// it has received the results of their starts. The next leader must not start a second copy
// of a task.
func TestFailoverDuringPlacement(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		run(t, 10+seed, func(c *testCluster) {
			var once sync.Once
			placed := make(chan struct{})
			c.env.Store.SetOnCommit(func(txn *protocol.Transaction) {
				c.checkRequiredPreconditions(txn)
				for _, mutation := range txn.Mutations {
					if strings.HasSuffix(mutation.Set, "/t") { // the key of a run record, which holds placements
						once.Do(func() { close(placed) })
					}
				}
			})
			c.submit(arrayJob(1, "check", 12), 40)
			<-placed
			time.Sleep(time.Duration(seed) * 4 * time.Millisecond)
			oldLeader := c.leader()
			c.kill(oldLeader)
			c.until("a controller leads again", 15*time.Second, func() bool { return c.leader() != "" })
			c.boot(oldLeader)
			c.untilDone(5*time.Minute, "req-000001")
		})
	}
}

// TestCancellationWithoutLeader cancels a job while no controller leads. The next leader
// receives no watch event of the cancellation, so it must stop the tasks because of the
// job's record alone.
func TestCancellationWithoutLeader(t *testing.T) {
	t.Parallel()
	run(t, 30, func(c *testCluster) {
		c.submit(serviceJob(1, 2), 0)
		c.until("both replicas run", 2*time.Minute, func() bool { return len(c.env.MachinesOf("req-000001")) == 2 })
		oldIndex := slices.Index(controllerNames, c.leader())
		c.kill(controllerNames[oldIndex])
		c.env.SetAskedNodes(c.env.NodeAddrs()[(oldIndex+1)%3]) // a request to the killed controller would fail, and users retry only after a second
		if status, jobStatus := c.env.Cancel("req-000001"); status != 200 || jobStatus.Phase != protocol.PhaseCancelled {
			t.Fatalf("cancellation of req-000001: status %d and phase %q, want 200 and cancelled", status, jobStatus.Phase)
		}
		if c.leader() != "" {
			t.Fatal("a controller leads right after the cancellation, so a leader possibly received it, want no leader")
		}
		c.env.SetAskedNodes()
		time.Sleep(time.Minute)
		if on := c.env.MachinesOf("req-000001"); len(on) > 0 {
			t.Errorf("req-000001 is cancelled and still has tasks on %v", on)
		}
	})
}

// TestStoreRefusesLeader makes the key-value store refuse the leader but no other controller,
// and cuts the leader off from its peers. Another controller must take over. A job is then
// cancelled, and the old leader must stop answering heartbeats early enough for the tasks of
// that job to end within cancel_s.
func TestStoreRefusesLeader(t *testing.T) {
	t.Parallel()
	run(t, 50, func(c *testCluster) {
		c.runServiceAndArray(arrayJob(2, "check", 20), 20, 1)
		oldLeader := c.leader()
		c.env.Store.SetUnavailable(oldLeader, true)
		// The old leader's peers cannot report a newer term to it, and agents can still send
		// it their heartbeats.
		heal := c.isolate(oldLeader, fake.Hold, c.others(oldLeader)...)
		c.untilAnotherLeads(oldLeader, 20*time.Second)
		c.env.Cancel("req-000001")
		time.Sleep(50 * time.Second)
		if on := c.env.MachinesOf("req-000001"); len(on) > 0 {
			t.Errorf("the cancelled service still has replicas on %v", on)
		}
		c.env.Store.SetUnavailable(oldLeader, false)
		heal()
		c.untilDone(4*time.Minute, "req-000002")
	})
}

// TestSlowKeepAlives makes every fifth keep-alive of the leader's lease take almost as long
// as the lease lasts. The leader must send the next keep-alives without waiting for a slow
// one, so that the term does not change. In an earlier version the leader waited, and lost
// its term every eight seconds when the key-value store was slow.
func TestSlowKeepAlives(t *testing.T) {
	t.Parallel()
	run(t, 141, func(c *testCluster) {
		c.submit(serviceJob(1, 2), 0)
		termBefore := c.latestTerm()
		var calls atomic.Int64
		c.env.Store.SetCallDelay(func(path string) time.Duration {
			if strings.HasSuffix(path, "/touch") && calls.Add(1)%5 == 0 {
				return 1450 * time.Millisecond
			}
			return 60 * time.Millisecond
		})
		time.Sleep(2 * time.Minute)
		if termAfter := c.latestTerm(); termAfter != termBefore {
			t.Errorf("the term changed %d times, want no change", termAfter-termBefore)
		}
		c.submit(arrayJob(2, "check", 8), 10)
		c.untilDone(2*time.Minute, "req-000002")
	})
}

// TestStoreOutage makes the key-value store refuse all controllers. The leader must keep
// renewing the agents' leases, so that no replica stops or moves.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	run(t, 60, func(c *testCluster) {
		c.runServiceAndArray(arrayJob(2, "check", 6), 60, 3)
		before := c.env.MachinesOf("req-000001")
		c.env.Store.SetUnavailable("", true)
		// The outage is much longer than the leader lease, which is shorter than
		// cancel_s - lease_s, so the leader must extend it without the store.
		time.Sleep(60 * time.Second)
		if on := c.env.MachinesOf("req-000001"); !slices.Equal(on, before) {
			t.Errorf("replicas ran on %v and now run on %v, want no change", before, on)
		}
		c.env.Store.SetUnavailable("", false)
		c.untilDone(3*time.Minute, "req-000002")
	})
}

func TestAllControllersKilled(t *testing.T) {
	t.Parallel()
	run(t, 70, func(c *testCluster) {
		c.submit(serviceJob(1, 2), 0)
		c.submit(arrayJob(2, "check", 20), 30)
		c.submit(gangJob(3, 2), 60)
		c.until("both replicas and a task of the gang run", 2*time.Minute, func() bool {
			return len(c.env.MachinesOf("req-000001")) == 2 && len(c.env.MachinesOf("req-000003")) > 0
		})
		before := c.env.MachinesOf("req-000001")
		for _, name := range controllerNames {
			c.kill(name)
		}
		time.Sleep(5 * time.Second)
		for _, name := range controllerNames {
			c.boot(name)
		}
		c.untilDone(5*time.Minute, "req-000002", "req-000003")
		if on := c.env.MachinesOf("req-000001"); !slices.Equal(on, before) {
			t.Errorf("replicas ran on %v and now run on %v, want no change", before, on)
		}
	})
}

// TestLeaderReachesOnlyAgents cuts the leader off from the key-value store and the other
// controllers, but not from users and agents. It must become unhealthy and refuse users'
// requests, so that users ask another controller, and it must stop answering heartbeats
// when its leader lease ends. Another controller leads meanwhile.
func TestLeaderReachesOnlyAgents(t *testing.T) {
	t.Parallel()
	runWithNodes(t, 133, []string{"marble-0", "marble-1", "marble-2", "marble-3", "marble-4"}, func(c *testCluster) {
		c.submit(serviceJob(1, 4), 0)
		c.submit(arrayJob(2, "check", 20), 30)
		c.until("all replicas and a task of the array run", 2*time.Minute, func() bool {
			return len(c.env.MachinesOf("req-000001")) == 4 && len(c.env.MachinesOf("req-000002")) > 0
		})
		oldLeader := c.leader()
		heal := c.isolateFromStoreAndPeers(oldLeader)
		c.env.SetCloudDown(true) // no machine can be deprovisioned, so only the agents' leases can end tasks
		time.Sleep(8 * time.Second)
		c.env.Cancel("req-000001")
		c.mu.Lock()
		isolated := c.controllers[oldLeader]
		c.mu.Unlock()
		if isolated.Healthy() {
			t.Error("the controller that reaches neither the store nor its peers is still healthy")
		}
		response := httptest.NewRecorder()
		isolated.api.ServeHTTP(response, httptest.NewRequest("GET", "/v1/jobs/req-000002", nil))
		if response.Code != 503 || response.Header().Get("Connection") != "close" || response.Header().Get("Retry-After") == "" {
			t.Errorf("the isolated controller answers a user with status %d and headers %v, want 503, Connection: close and Retry-After", response.Code, response.Header())
		}
		workers := testDeployment().Workers
		time.Sleep(time.Duration((workers.CancelS - workers.LeaseS) * float64(time.Second)))
		heartbeat, _ := codec.Marshal(protocol.Heartbeat{Machine: "m-000001", Addr: "m-000001:9000", MachineType: "small", Zone: "a", Incarnation: 1, Sequence: 1 << 40})
		response = httptest.NewRecorder()
		isolated.api.ServeHTTP(response, httptest.NewRequest("POST", "/hello", bytes.NewReader(heartbeat)))
		if response.Code == 200 {
			t.Error("the isolated controller still answers heartbeats after its leader lease has ended")
		}
		c.env.SetCloudDown(false)
		c.expectStatusAnswers("req-000001", "req-000002")
		heal()
		c.untilDone(4*time.Minute, "req-000002")
	})
}

// TestLeaderWithoutAgents cuts the leader off from all agents and from nothing else, so that
// the leader can still renew its term in the store. It must give up the term to another
// controller before the agents' leases end; otherwise every lease would expire and all tasks
// would stop. In an earlier version the leader kept its term, and 0.7 of the replicas were
// down for half a minute. If no other controller runs, the controller that gave up the term
// must lead again.
func TestLeaderWithoutAgents(t *testing.T) {
	t.Parallel()
	run(t, 139, func(c *testCluster) {
		replicaMachines := c.runServicePairs(12)
		time.Sleep(5 * time.Second)
		before, leaseExpiriesBefore := replicaMachines(), c.env.LeaseExpiriesWithTasks()
		oldLeader := c.leader()
		heal := c.isolate(oldLeader, fake.Hold, c.env.Machines()...)
		time.Sleep(25 * time.Second) // more than twice the length of an agent's lease
		if c.leader() == oldLeader {
			t.Error("the leader that reaches no agent keeps its term")
		}
		if c.env.LeaseExpiriesWithTasks() > leaseExpiriesBefore || !slices.Equal(replicaMachines(), before) {
			t.Errorf("%d leases expired, want none; replicas ran on %s and now run on %s", c.env.LeaseExpiriesWithTasks()-leaseExpiriesBefore, before, replicaMachines())
		}
		heal()
		c.submit(arrayJob(21, "check", 6), 10)
		c.untilDone(3*time.Minute, "req-000021")
		// Without another controller, the one that gave up the term must win the next one.
		for _, name := range controllerNames {
			if name != c.leader() {
				c.kill(name)
			}
		}
		heal = c.isolate(c.leader(), fake.Hold, c.env.Machines()...)
		time.Sleep(40 * time.Second)
		heal()
		c.submit(arrayJob(22, "check", 6), 10)
		c.untilDone(3*time.Minute, "req-000022")
	})
}

// TestControllerRestartsAtOnce restarts leaders within a fraction of a second, also during an
// election. When a new process starts, the store still holds its predecessor's lease, and the
// predecessor's requests, those to take a term included, are in part still executed, some of
// them late or twice. Each term must be held only once.
func TestControllerRestartsAtOnce(t *testing.T) {
	t.Parallel()
	run(t, 135, func(c *testCluster) {
		// Some commits, lease requests, heartbeats and commands to agents arrive twice.
		c.network.SetDuplicates(map[string]time.Duration{"/commit": 3 * time.Second, "/grants": 3 * time.Second, "/hello": 40 * time.Second, "/do": 20 * time.Second})
		transactions := 0
		c.env.Store.SetLoseReply(func() bool { transactions++; return transactions%4 == 0 })
		c.submit(serviceJob(1, 2), 0)
		c.submit(arrayJob(2, "check", 20), 20)
		c.submit(gangJob(3, 3), 30)
		for i := range 25 {
			if leader := c.leader(); leader != "" {
				c.kill(leader)
				time.Sleep(time.Duration(i%5) * 90 * time.Millisecond)
				c.boot(leader)
			}
			time.Sleep(time.Duration(40+i*37) * time.Millisecond)
		}
		c.env.Store.SetLoseReply(nil)
		c.expectStatusAnswers("req-000001", "req-000002", "req-000003")
		c.untilDone(5*time.Minute, "req-000002", "req-000003")
		c.until("both replicas of the service run", time.Minute, func() bool { return len(c.env.MachinesOf("req-000001")) == 2 })
	})
}
