package marblehaven

import (
	"slices"
	"testing"
	"time"

	"marblehaven/internal/ledger"
	"marblehaven/internal/standin"
	"marblehaven/internal/wire"
)

// at is the users' address of a node.
func (c *cluster) at(name string) string { return c.w.Nodes[slices.Index(c.names, name)] }

// others are all nodes but one.
func (c *cluster) others(name string) []string {
	return slices.DeleteFunc(slices.Clone(c.names), func(n string) bool { return n == name })
}

// withdrawAt cancels a job at one node and checks that it is told so.
func (c *cluster) withdrawAt(name, ref string) {
	c.t.Helper()
	c.w.Asked = []string{c.at(name)}
	if st, s := c.w.Withdraw(ref); st != 200 || s.Phase != wire.PhaseCancelled {
		c.t.Errorf("withdrawing %s: %d %q", ref, st, s.Phase)
	}
	c.w.Asked = nil
}

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
	slowFollow := func(c *cluster) {
		c.w.State.Slow = func(path string) time.Duration {
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
		before func(c *cluster, leader string)
		// during is what else happens after the outage began.
		during func(c *cluster, leader string)
		// goesOn says that all controllers can name the cancelled jobs, so that
		// the other jobs go on.
		goesOn bool
	}{
		{"by the leader itself", func(c *cluster, leader string) {
			slowFollow(c)
			c.withdrawAt(leader, "req-000001")
		}, nil, true},
		{"by another", func(c *cluster, leader string) {
			slowFollow(c)
			c.withdrawAt(c.others(leader)[0], "req-000001")
		}, nil, true},
		{"read at the leader", func(c *cluster, leader string) {
			slowFollow(c)
			// The one that committed it ends before it can answer.
			other := c.others(leader)[0]
			c.w.State.LoseReply = func() bool { return true }
			c.w.Asked = []string{c.at(other)}
			go c.w.Withdraw("req-000001")
			time.Sleep(30 * time.Millisecond)
			c.w.State.LoseReply = nil
			c.kill(other)
			c.w.Asked = []string{c.at(leader)}
			c.until("it is called cancelled", time.Second, func() bool { return c.phase("req-000001") == wire.PhaseCancelled })
			c.w.Asked = nil
			c.boot(other)
		}, nil, false},
		{"by one that restarts at once", func(c *cluster, leader string) {
			slowFollow(c)
			other := c.others(leader)[0]
			c.withdrawAt(other, "req-000001")
			c.kill(other)
			c.boot(other)
		}, nil, false},
		{"by one that restarts twice", func(c *cluster, leader string) {
			slowFollow(c)
			other := c.others(leader)[0]
			c.withdrawAt(other, "req-000001")
			c.kill(other)
			time.Sleep(200 * time.Millisecond)
			c.boot(other)
		}, func(c *cluster, leader string) {
			other := c.others(leader)[0]
			time.Sleep(5 * time.Second)
			c.kill(other)
			time.Sleep(1500 * time.Millisecond)
			c.boot(other)
		}, false},
		{"by one whose answers come late", func(c *cluster, leader string) {
			slowFollow(c)
			other := c.others(leader)[0]
			c.net.Delay = func(from, to string) time.Duration {
				if from == other && to == leader {
					return 900 * time.Millisecond
				}
				return 0
			}
			time.Sleep(500 * time.Millisecond) // it is asked, and answers before it confirms
			c.withdrawAt(other, "req-000001")
		}, nil, true},
		{"by one that is cut off then", func(c *cluster, leader string) {
			slowFollow(c)
			other := c.others(leader)[0]
			c.withdrawAt(other, "req-000001")
			c.isolate(other, standin.Hold, c.others(other)...)
		}, nil, false},
		{"carried out late and read elsewhere", func(c *cluster, leader string) {
			other := c.others(leader)[0]
			n := 0
			c.w.State.Late = func() time.Duration {
				if n++; n == 1 {
					return 3 * time.Second
				}
				return 0
			}
			c.w.State.LoseEvent = func(key string) bool { return key == "o/req-000001" }
			c.withdrawAt(other, "req-000001")
		}, nil, true},
		{"while the leader alone is refused", func(c *cluster, leader string) {
			c.w.State.Refuse(leader, true)
			c.withdrawAt(c.others(leader)[0], "req-000001")
		}, nil, true},
		{"while the leader alone is refused and hears no peer", func(c *cluster, leader string) {
			c.w.State.Refuse(leader, true)
			c.isolate(leader, standin.Hold, c.others(leader)...)
			c.withdrawAt(c.others(leader)[0], "req-000001")
		}, nil, false},
		{"by the next leader before the outage", func(c *cluster, leader string) {
			c.w.State.Refuse(leader, true)
			next := c.untilAnotherLeads(leader, 10*time.Second)
			slowFollow(c)
			c.withdrawAt(next, "req-000001")
		}, nil, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range seeds(3) {
				run(t, 200+seed, func(c *cluster) {
					c.submit(standing(1, 2), 0)
					c.submit(standing(2, 2), 0)
					c.submit(sweep(3, "check", 6), 400)
					c.until("all run", 2*time.Minute, func() bool {
						return len(c.w.On("req-000001")) == 2 && len(c.w.On("req-000002")) == 2 && len(c.w.On("req-000003")) == 6
					})
					time.Sleep(20*time.Second + time.Duration(seed)*370*time.Millisecond)
					keep := c.w.On("req-000002")
					lapses := c.w.Lapses
					leader := c.leader()
					tc.before(c, leader)
					c.w.State.Refuse("", true)
					c.w.State.Slow = nil
					if tc.during != nil {
						tc.during(c, leader)
					}
					terms := c.terms()
					time.Sleep(70 * time.Second)
					if on := c.w.On("req-000001"); len(on) > 0 {
						t.Errorf("cancelled, still on %v", on)
					}
					if on := c.w.On("req-000002"); tc.goesOn && (!slices.Equal(on, keep) || c.w.Lapses > lapses) {
						t.Errorf("%d leases ran out; the other service was on %v and is on %v", c.w.Lapses-lapses, keep, on)
					}
					c.w.State.Refuse(leader, false)
					c.w.State.Refuse("", false)
					c.mend()
					time.Sleep(15 * time.Second)
					// Records that are behind what the controllers say must not make
					// the leader's writes fail until it gives up.
					if n := c.terms() - terms; tc.goesOn && n > 0 {
						t.Errorf("%d terms more", n)
					}
					c.known(c.jobs...)
					c.until("the other service runs", 2*time.Minute, func() bool { return len(c.w.On("req-000002")) == 2 })
				})
			}
		})
	}
}

// untilAnotherLeads waits for a leader beside a node, which may still take itself for
// one, and returns its name.
func (c *cluster) untilAnotherLeads(old string, limit time.Duration) (next string) {
	c.t.Helper()
	c.until("another leads", limit, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for name, n := range c.nodes {
			if name != old && n.Leading() != nil {
				next = name
			}
		}
		return next != ""
	})
	return next
}

// settle ends all troubles and judges what the operators' page judges then: every
// accepted job is known, cancelled ones have nothing left, the others run and end,
// and none is left waiting beside room.
func (c *cluster) settle() {
	c.t.Helper()
	c.w.State.Refuse("", false)
	for _, n := range c.names {
		c.w.State.Refuse(n, false)
		if !c.alive(n) {
			c.boot(n)
		}
	}
	c.w.State.Slow, c.w.State.Late, c.w.State.LoseReply, c.w.State.LoseEvent = nil, nil, nil, nil
	c.net.Delay = nil
	c.w.CloudDown = false
	c.mend()
	c.w.Calm()
	c.known(c.jobs...)
	for _, ref := range c.jobs {
		j := c.w.Job(ref)
		switch {
		case c.w.Cancelled(ref):
			c.until(ref+" is over", time.Minute, func() bool {
				p := c.phase(ref)
				return (p == wire.PhaseCancelled || p == wire.PhaseDone) && len(c.w.On(ref)) == 0
			})
		case j.Shape == wire.Service:
			c.until(ref+" runs", 3*time.Minute, func() bool { return len(c.w.On(ref)) == j.Tasks })
		default:
			c.untilDone(6*time.Minute, ref)
		}
	}
	time.Sleep(time.Minute)
}

func (c *cluster) alive(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name] != nil
}

// mute makes machines unable to open connections.
func (c *cluster) mute(machines ...string) {
	for _, m := range machines {
		c.mends = append(c.mends, c.net.Mute(m))
	}
}

// deafen makes machines hear nothing.
func (c *cluster) deafen(machines ...string) {
	for _, m := range machines {
		c.mends = append(c.mends, c.net.Deafen(m))
	}
}

// mend ends the cuts made so far.
func (c *cluster) mend() {
	for _, mend := range c.mends {
		mend()
	}
	c.mends = nil
}

// begin submits two services and two arrays and waits until they run.
func (c *cluster) begin() {
	c.t.Helper()
	c.submit(standing(1, 2), 0)
	c.submit(standing(2, 2), 0)
	c.submit(sweep(3, "check", 6), 60)
	zoned := sweep(4, "check", 4)
	zoned.Zone, zoned.OneZone = "a", true
	c.submit(zoned, 60)
	c.until("all run", 2*time.Minute, func() bool {
		return len(c.w.On("req-000001")) == 2 && len(c.w.On("req-000002")) == 2 && len(c.w.On("req-000003")) == 6 && len(c.w.On("req-000004")) == 4
	})
	time.Sleep(5 * time.Second)
}

// lateCommits picks a share of the commits to be carried out 2 to 12 s late.
func (c *cluster) lateCommits(share float64) func() time.Duration {
	return func() time.Duration {
		if c.w.Random() < share {
			return time.Duration((2 + 10*c.w.Random()) * float64(time.Second))
		}
		return 0
	}
}

// noRoom lets the cloud rent out nothing more.
func (c *cluster) noRoom() {
	for _, typ := range testTypes {
		for _, zone := range typ.Zones {
			c.w.Limit(typ.Name, zone, false, 0)
			c.w.Limit(typ.Name, zone, true, 0)
		}
	}
}

// killLeader ends the leader, if there is one, and returns its name.
func (c *cluster) killLeader() string {
	l := c.leader()
	if l != "" {
		c.kill(l)
	}
	return l
}

// startsUntil is how long after a confirmed cancellation a start that was on its way
// may still begin: a direct command in flight, then the fetch of its image.
const startsUntil = 8 * time.Second

// Two failures at once, one case for each pair that the operators expect and that no
// other scenario brings about; docs/compound-failures.md names them all.
func TestCompoundFailures(t *testing.T) {
	for _, tc := range []struct {
		name string
		play func(c *cluster, seed uint64)
	}{
		{"no worker can open connections", func(c *cluster, seed uint64) {
			c.begin()
			c.mute(c.w.Machines()...)
			time.Sleep(time.Duration(seed) * 3 * time.Second)
			go c.w.Withdraw("req-000001")
			c.submit(sweep(5, "check", 4), 20)
			if seed == 1 {
				c.killLeader()
			}
			time.Sleep(2*testLease + 10*time.Second)
			c.mend()
		}},
		{"work bound to a zone loses its machines", func(c *cluster, seed uint64) {
			c.begin()
			if seed == 1 {
				c.w.CloudDown = true
			}
			for _, m := range c.w.Machines() {
				if c.w.Zone(m) == "a" {
					c.w.Kill(m)
				}
			}
			if seed == 2 {
				c.killLeader()
			}
			time.Sleep(15 * time.Second)
		}},
		{"all controllers are away for longer than a lease", func(c *cluster, seed uint64) {
			c.begin()
			machines := c.w.Machines()
			c.isolate(machines[0], standin.Hold, c.names...)
			for _, n := range c.names {
				c.kill(n)
			}
			time.Sleep(testLease - time.Second + time.Duration(seed)*4*time.Second)
			c.boot(c.names[seed])
			go c.w.Withdraw("req-000001")
			time.Sleep(8 * time.Second)
		}},
		{"slow answers, then the leader alone is refused, then all, while users cancel and ask", func(c *cluster, seed uint64) {
			c.begin()
			c.w.State.Slow = func(string) time.Duration { return time.Duration(200+seed*500) * time.Millisecond }
			for range 3 {
				go c.w.Withdraw("req-000001")
				go c.w.Withdraw("req-000003")
				go c.w.Poll("req-000002")
				time.Sleep(700 * time.Millisecond)
			}
			c.w.State.Refuse(c.leader(), true)
			go c.w.Withdraw("req-000004")
			time.Sleep(time.Second)
			c.w.State.Refuse("", true)
			time.Sleep(50 * time.Second)
		}},
		{"a team at its limit, machines that can't be asked, a cancellation and a new leader", func(c *cluster, seed uint64) {
			c.submit(sweep(1, "check", 12), 90)
			c.submit(sweep(2, "check", 8), 90)
			c.submit(sweep(3, "check", 10), 20) // waits for the limit
			c.until("the limit is reached", 2*time.Minute, func() bool { return len(c.w.On("req-000001"))+len(c.w.On("req-000002")) == 20 })
			on := slices.Compact(c.w.On("req-000001"))
			c.w.CloudDown = true
			switch seed {
			case 0:
				c.isolate(on[0], standin.Hold, c.names...)
			case 1:
				c.deafen(on[:2]...)
			case 2:
				c.mends = append(c.mends, c.w.Hang(on[0]))
			}
			c.killLeader()
			go c.w.Withdraw("req-000001")
			time.Sleep(testLease + 5*time.Second)
			c.mend()
			time.Sleep(20 * time.Second)
		}},
		{"ten leaders in two minutes, also inside an outage", func(c *cluster, seed uint64) {
			c.begin()
			c.net.Repeat = map[string]time.Duration{"/hello": 40 * time.Second, "/do": 20 * time.Second, "/commit": 10 * time.Second}
			for i := range 10 {
				if l := c.killLeader(); l != "" {
					time.Sleep(time.Duration(i) * 200 * time.Millisecond)
					c.boot(l)
				}
				c.w.State.Refuse("", i >= 4 && i < 8)
				if i == 3 {
					go c.w.Withdraw("req-000001")
				}
				time.Sleep(time.Duration(5+3*int(seed)) * time.Second)
			}
		}},
		{"more work than room, urgent and not, over slow links", func(c *cluster, seed uint64) {
			c.noRoom()
			for _, zone := range []string{"a", "b"} {
				c.w.Limit("small", zone, false, 2)
				c.w.Limit("small", zone, true, 2)
			}
			c.net.Delay = func(from, to string) time.Duration { return time.Duration(c.w.Random()*300) * time.Millisecond }
			for i, rank := range []string{wire.Idle, wire.Standard, wire.High, wire.Idle, wire.Standard, wire.High} {
				j := sweep(1+i, "check", 10)
				j.Rank = rank
				c.submit(j, 15)
			}
			c.submit(standing(7, 2), 0)
			time.Sleep(30 * time.Second)
			go c.w.Withdraw("req-000002")
			c.killLeader()
			time.Sleep(30 * time.Second)
		}},
		{"the leader ends while machines with long tasks can't be reached or hear nothing", func(c *cluster, seed uint64) {
			c.begin()
			on := c.w.On("req-000003")
			c.isolate(on[0], standin.Hold, c.names...)
			c.deafen(c.w.On("req-000002")[0])
			c.mute(c.w.On("req-000004")[0])
			time.Sleep(time.Duration(seed) * 2 * time.Second)
			old := c.killLeader()
			go c.w.Withdraw("req-000001")
			time.Sleep(4 * time.Second)
			c.boot(old)
			time.Sleep(testLease + time.Duration(seed)*8*time.Second)
			c.mend()
			time.Sleep(10 * time.Second)
		}},
		{"a machine hangs in the middle of a command and goes on", func(c *cluster, seed uint64) {
			c.begin()
			for i, m := range c.w.Machines() {
				c.w.HangInCommand(m, time.Duration(2+3*i)*time.Second)
			}
			c.submit(sweep(5, "check", 8), 20)
			c.submit(gang(6, 2), 20)
			time.Sleep(time.Duration(1+seed) * time.Second)
			go c.w.Withdraw("req-000001")
			go c.w.Withdraw("req-000003")
			if seed == 2 {
				c.killLeader()
			}
			time.Sleep(25 * time.Second)
		}},
		{"tasks end far apart across a change of leader", func(c *cluster, seed uint64) {
			c.w.Uneven = 2
			c.submit(sweep(1, "check", 2), 15)
			c.submit(sweep(2, "check", 3), 12)
			c.submit(sweep(3, "check", 3), 14)
			c.until("they run", time.Minute, func() bool { return len(c.w.On("req-000001")) == 2 && len(c.w.On("req-000003")) == 3 })
			time.Sleep(time.Duration(13+seed) * time.Second) // the first have ended or are about to
			for range 3 {
				old := c.killLeader()
				time.Sleep(3 * time.Second)
				if old != "" {
					c.boot(old)
				}
				time.Sleep(8 * time.Second)
			}
			go c.w.Withdraw("req-000003")
		}},
		{"a cancellation, a question and a repeat meet the end of the last task", func(c *cluster, seed uint64) {
			c.w.OnDone = func(ref string) {
				n := int(ref[len(ref)-1] - '0')
				time.Sleep(time.Duration(c.w.Random()*float64(seed+1)*700) * time.Millisecond)
				if n%2 == 0 {
					go c.w.Withdraw(ref)
				}
				go c.w.Poll(ref)
				go c.w.Submit(c.w.Job(ref), 1)
			}
			for i := range 8 {
				c.submit(sweep(1+i, "check", 1+i%3), float64(10+i))
			}
			time.Sleep(70 * time.Second)
			if seed == 1 {
				c.killLeader()
			}
		}},
		{"controllers hand over and back, all end, one returns within a second", func(c *cluster, seed uint64) {
			c.begin()
			first := c.killLeader()
			time.Sleep(time.Duration(100+seed*300) * time.Millisecond)
			c.boot(first)
			c.until("one leads", 10*time.Second, func() bool { return c.leader() != "" })
			second := c.killLeader()
			go c.w.Withdraw("req-000001")
			time.Sleep(300 * time.Millisecond)
			c.boot(second)
			time.Sleep(time.Duration(seed) * time.Second)
			for _, n := range c.names {
				c.kill(n)
			}
			time.Sleep(400 * time.Millisecond)
			c.boot(first)
			time.Sleep(12 * time.Second)
		}},
		{"transactions without an answer are carried out late", func(c *cluster, seed uint64) {
			c.begin()
			c.w.State.Late = c.lateCommits(0.2)
			for i := range 6 {
				c.submit(sweep(5+i, "check", 3), 8)
			}
			go c.w.Withdraw("req-000001")
			go c.w.Withdraw("req-000005")
			time.Sleep(20 * time.Second)
			old := c.killLeader()
			time.Sleep(time.Duration(seed) * 700 * time.Millisecond)
			if old != "" {
				c.boot(old)
			}
			time.Sleep(30 * time.Second)
		}},
		{"copies of old reports come from machines that died", func(c *cluster, seed uint64) {
			c.net.Repeat = map[string]time.Duration{"/hello": 40 * time.Second}
			c.submit(sweep(1, "check", 8), 200)
			c.submit(sweep(2, "check", 8), 50) // leaves room behind
			c.untilDone(2*time.Minute, "req-000002")
			c.w.CloudDown = true // no return proves anything, so only the leases can
			for _, m := range slices.Compact(c.w.On("req-000001"))[:2] {
				c.w.Kill(m)
			}
			if seed == 1 {
				c.killLeader()
				return
			}
			// A copy that counted as a sign of life would renew a dead machine's lease.
			c.until("what the dead machines had runs elsewhere", testLease+4*time.Second, func() bool { return len(c.w.On("req-000001")) == 8 })
		}},
		{"reports are held until a new leader has acted", func(c *cluster, seed uint64) {
			c.begin()
			machines := c.w.Machines()
			c.net.Delay = func(from, to string) time.Duration {
				if i := slices.Index(machines, from); i >= 0 && i%2 == 0 {
					return time.Duration(c.w.Random() * 16 * float64(time.Second))
				}
				return 0
			}
			for range 3 {
				old := c.killLeader()
				time.Sleep(time.Duration(1+seed) * time.Second)
				if old != "" {
					c.boot(old)
				}
				time.Sleep(9 * time.Second)
			}
			go c.w.Withdraw("req-000003")
			time.Sleep(10 * time.Second)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range seeds(3) {
				run(t, 300+seed, func(c *cluster) {
					tc.play(c, seed%3) // three variants of each
					c.settle()
					if c.w.LateStart > startsUntil {
						t.Errorf("a task started %v after its cancellation was confirmed", c.w.LateStart)
					}
				})
			}
		})
	}
}

// A machine that reaches no controller, though commands reach it, loses its lease
// whatever it is told: what is started there is lost again, so nothing is put on it
// until it is heard.
func TestMuteMachine(t *testing.T) {
	run(t, 340, func(c *cluster) {
		c.noRoom() // but some: there is more work
		c.w.Limit("small", "a", false, 3)
		c.w.Limit("small", "b", false, 3)
		c.submit(standing(1, 2), 0)
		c.submit(sweep(2, "fill", 400), 3)
		c.until("all run", 2*time.Minute, func() bool { return len(c.w.On("req-000001")) == 2 && len(c.w.On("req-000002")) >= 5 })
		mute := c.w.On("req-000001")[0]
		c.mute(mute)
		// It answers commands, but after some report intervals gets nothing more.
		time.Sleep(10500 * time.Millisecond)
		if slices.Contains(c.w.On("req-000002"), mute) {
			t.Error("work is still put on a machine that has fallen silent")
		}
		c.untilElsewhere("req-000001", 2, mute, testLease+10*time.Second)
		for range 60 {
			time.Sleep(time.Second)
			if slices.Contains(c.w.On("req-000002"), mute) || slices.Contains(c.w.On("req-000001"), mute) {
				t.Fatal("work was put on a machine that cannot say that it lives")
			}
		}
		c.settle()
	})
}

// No worker can open a connection for much longer than a lease and the wait after it:
// the machines answer commands, so they are there, and are not given back. (Found on the
// bench by days/mute.toml: all machines went back at once and were rented anew.)
func TestMuteFleet(t *testing.T) {
	for seed := range seeds(2) {
		run(t, 350+seed, func(c *cluster) {
			c.begin()
			time.Sleep(25 * time.Second) // what was rented beyond need is up
			c.noRoom()
			machines, lapses, terms := c.w.Machines(), c.w.Lapses, c.terms()
			c.mute(machines...)
			time.Sleep(20 * time.Second)
			if seed%2 == 1 {
				c.killLeader()
			}
			time.Sleep(80 * time.Second)
			if left := c.w.Machines(); !slices.Equal(left[:min(len(left), len(machines))], machines) {
				t.Errorf("of %v only %v are left", machines, left)
			}
			// Each loses what it had, and nothing is put there to be lost again, but by a
			// new leader, which cannot know before some report intervals are over.
			if n := c.w.Lapses - lapses; n > len(machines)*int(1+seed%2) {
				t.Errorf("%d leases of %d machines ran out with tasks", n, len(machines))
			}
			// One leader may leave the term to another, which can do no better.
			if n := c.terms() - terms; n > 1+seed%2 {
				t.Errorf("%d terms", n)
			}
			c.mend()
			c.until("the services run", 15*time.Second, func() bool { return len(c.w.On("req-000001")) == 2 && len(c.w.On("req-000002")) == 2 })
			c.settle()
		})
	}
}

// What has ended goes from the records even if the job waits for room and nothing of it
// is started: a new leader takes what they hold for running until X and a lease are over,
// counts it in the team's limit and starts it no sooner. (Found on the bench by
// days/mute.toml.)
func TestRecordsForgetWhatEnded(t *testing.T) {
	run(t, 360, func(c *cluster) {
		c.noRoom()
		c.w.Limit("small", "a", true, 2)
		c.submit(sweep(1, "check", 4), 100)
		c.until("all run", time.Minute, func() bool { return len(c.w.On("req-000001")) == 4 })
		time.Sleep(3 * time.Second)
		c.w.CloudDown = true // no return, no rental
		c.w.Kill(c.w.On("req-000001")[0])
		time.Sleep(20 * time.Second) // its lease is over
		var r ledger.Run
		if err := wire.Unmarshal(c.w.State.Value("o/req-000001/t"), &r); err != nil || len(r.Live) != 2 || len(c.w.On("req-000001")) != 2 {
			t.Errorf("%d run, recorded as running: %v (%v)", len(c.w.On("req-000001")), r.Live, err)
		}
		c.settle()
	})
}
