package server

import (
	"slices"
	"testing"
	"time"

	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
)

// A cancellation is confirmed to its user around the time at which the state
// service is lost, for longer than cancel_s, while the workers go on reporting to
// the leader of before. In every order of these events the job's tasks are gone
// within cancel_s: the leader may answer reports only up to X after a time up to
// which it knows every cancellation that any controller, itself included, has
// confirmed. Where the controllers can name the jobs, it stops just those and all
// else runs on.
func TestConfirmedBeforeOutage(t *testing.T) {
	// A confirmation that the leader's follow calls do not bring it any more: they
	// are slow, as calls now and then are, until nothing is served.
	slowFollow := func(c *testCluster) {
		c.env.Store.Slow = func(path string) time.Duration {
			if path == "/follow" {
				return 1400 * time.Millisecond
			}
			return 0
		}
		time.Sleep(2 * time.Second)
	}
	for _, tc := range []struct {
		name string
		// before leads up to the outage, in which job 1 must be confirmed as cancelled.
		before func(c *testCluster, leader string)
		// during is what else happens after the outage began.
		during func(c *testCluster, leader string)
		// goesOn says that all controllers can name the cancelled jobs, so that
		// the other jobs go on.
		goesOn bool
	}{
		{"by the leader itself", func(c *testCluster, leader string) {
			slowFollow(c)
			c.withdrawAt(leader, "req-000001")
		}, nil, true},
		{"by another", func(c *testCluster, leader string) {
			slowFollow(c)
			c.withdrawAt(c.others(leader)[0], "req-000001")
		}, nil, true},
		{"read at the leader", func(c *testCluster, leader string) {
			slowFollow(c)
			// The one that committed it ends before it can answer.
			other := c.others(leader)[0]
			c.env.Store.LoseReply = func() bool { return true }
			c.env.Asked = []string{c.at(other)}
			go c.env.Cancel("req-000001")
			time.Sleep(30 * time.Millisecond)
			c.env.Store.LoseReply = nil
			c.kill(other)
			c.env.Asked = []string{c.at(leader)}
			c.until("it is called cancelled", time.Second, func() bool { return c.phase("req-000001") == protocol.PhaseCancelled })
			c.env.Asked = nil
			c.boot(other)
		}, nil, false},
		{"by one that restarts at once", func(c *testCluster, leader string) {
			slowFollow(c)
			other := c.others(leader)[0]
			c.withdrawAt(other, "req-000001")
			c.kill(other)
			c.boot(other)
		}, nil, false},
		{"by one that restarts twice", func(c *testCluster, leader string) {
			slowFollow(c)
			other := c.others(leader)[0]
			c.withdrawAt(other, "req-000001")
			c.kill(other)
			time.Sleep(200 * time.Millisecond)
			c.boot(other)
		}, func(c *testCluster, leader string) {
			other := c.others(leader)[0]
			time.Sleep(5 * time.Second)
			c.kill(other)
			time.Sleep(1500 * time.Millisecond)
			c.boot(other)
		}, false},
		{"by one whose answers come late", func(c *testCluster, leader string) {
			slowFollow(c)
			other := c.others(leader)[0]
			c.network.Delay = func(from, to string) time.Duration {
				if from == other && to == leader {
					return 900 * time.Millisecond
				}
				return 0
			}
			time.Sleep(500 * time.Millisecond) // it is asked, and answers before it confirms
			c.withdrawAt(other, "req-000001")
		}, nil, true},
		{"by one that is cut off then", func(c *testCluster, leader string) {
			slowFollow(c)
			other := c.others(leader)[0]
			c.withdrawAt(other, "req-000001")
			c.isolate(other, fake.Hold, c.others(other)...)
		}, nil, false},
		{"carried out late and read elsewhere", func(c *testCluster, leader string) {
			other := c.others(leader)[0]
			n := 0
			c.env.Store.Late = func() time.Duration {
				if n++; n == 1 {
					return 3 * time.Second
				}
				return 0
			}
			c.env.Store.LoseEvent = func(key string) bool { return key == "o/req-000001" }
			c.withdrawAt(other, "req-000001")
		}, nil, true},
		{"while the leader alone is refused", func(c *testCluster, leader string) {
			c.env.Store.Refuse(leader, true)
			c.withdrawAt(c.others(leader)[0], "req-000001")
		}, nil, true},
		{"while the leader alone is refused and hears no peer", func(c *testCluster, leader string) {
			c.env.Store.Refuse(leader, true)
			c.isolate(leader, fake.Hold, c.others(leader)...)
			c.withdrawAt(c.others(leader)[0], "req-000001")
		}, nil, false},
		{"by the next leader before the outage", func(c *testCluster, leader string) {
			c.env.Store.Refuse(leader, true)
			next := c.untilAnotherLeads(leader, 10*time.Second)
			slowFollow(c)
			c.withdrawAt(next, "req-000001")
		}, nil, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range seeds(3) {
				run(t, 200+seed, func(c *testCluster) {
					c.submit(serviceJob(1, 2), 0)
					c.submit(serviceJob(2, 2), 0)
					c.submit(arrayJob(3, "check", 6), 400)
					c.until("all run", 2*time.Minute, func() bool {
						return len(c.env.MachinesOf("req-000001")) == 2 && len(c.env.MachinesOf("req-000002")) == 2 && len(c.env.MachinesOf("req-000003")) == 6
					})
					time.Sleep(20*time.Second + time.Duration(seed)*370*time.Millisecond)
					keep := c.env.MachinesOf("req-000002")
					lapses := c.env.LeaseExpiries
					leader := c.leader()
					tc.before(c, leader)
					c.env.Store.Refuse("", true)
					c.env.Store.Slow = nil
					if tc.during != nil {
						tc.during(c, leader)
					}
					terms := c.terms()
					time.Sleep(70 * time.Second)
					if on := c.env.MachinesOf("req-000001"); len(on) > 0 {
						t.Errorf("cancelled, still on %v", on)
					}
					if on := c.env.MachinesOf("req-000002"); tc.goesOn && (!slices.Equal(on, keep) || c.env.LeaseExpiries > lapses) {
						t.Errorf("%d leases ran out; the other service was on %v and is on %v", c.env.LeaseExpiries-lapses, keep, on)
					}
					c.env.Store.Refuse(leader, false)
					c.env.Store.Refuse("", false)
					c.mend()
					time.Sleep(15 * time.Second)
					// Records that are behind what the controllers say must not make
					// the leader's writes fail until it gives up.
					if n := c.terms() - terms; tc.goesOn && n > 0 {
						t.Errorf("%d terms more", n)
					}
					c.known(c.jobs...)
					c.until("the other service runs", 2*time.Minute, func() bool { return len(c.env.MachinesOf("req-000002")) == 2 })
				})
			}
		})
	}
}
