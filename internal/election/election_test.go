package election_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// keepAlivePath ends the path of every keep-alive, and of no other request.
const keepAlivePath = "/touch"

func TestOneOfTwoLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		nodes := []*node{c.start("a"), c.start("b")}
		time.Sleep(10 * tuning.LeadershipTTL)
		c.checkSettled(nodes)
		if c.newestTerm() != 1 {
			t.Errorf("%d terms without a fault, want 1", c.newestTerm())
		}
	})
}

func TestLeaseExpiryHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		nodes := []*node{c.start("a"), c.start("b")}
		time.Sleep(time.Second)
		old, others := c.leaderAndOthers(nodes)
		heal := c.network.BlockOutbound(old.name)
		time.Sleep(tuning.LeadershipTTL / 3) // shorter than what remains of the lease after the last keep-alive
		if others[0].leading() != 0 {
			t.Error("the other node leads before the lease has expired")
		}
		time.Sleep(tuning.LeadershipTTL)
		if others[0].leading() != 2 {
			t.Errorf("the other node leads term %d after the lease has expired, want 2", others[0].leading())
		}
		heal()
		time.Sleep(2 * tuning.KeepAliveInterval)
		c.checkSettled(nodes)
	})
}

// A leader whose lease expires while no other node takes over keeps its term. A new term
// would make all agents and peers repeat the handshake.
func TestLeaseExpiryWithoutRivalKeepsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		only := c.start("a")
		time.Sleep(time.Second)
		heal := c.network.BlockOutbound(only.name)
		time.Sleep(3 * tuning.LeadershipTTL)
		if c.store.Value(records.KeyLeader) != nil {
			t.Fatal("the lease has not expired")
		}
		heal()
		time.Sleep(2 * tuning.KeepAliveInterval)
		if c.store.Value(records.KeyLeader) == nil {
			t.Error("the leader key is not set again")
		}
		time.Sleep(3 * tuning.LeadershipTTL)
		if c.store.Value(records.KeyLeader) == nil {
			t.Error("the second lease is not kept alive")
		}
		// The fake store numbers leases from 1. The leader was granted two, so the third is
		// this probe.
		if probe, err := only.store.GrantLease(t.Context(), time.Second); err != nil || probe != 3 {
			t.Errorf("%d leases granted before the probe, want 2; error of the probe: %v", probe-1, err)
		}
		if c.checkSettled([]*node{only}); only.leading() != 1 {
			t.Errorf("the node leads term %d, want 1", only.leading())
		}
	})
}

// A keep-alive that hangs does not delay the next one, so the lease does not expire.
func TestHangingKeepAlivesKeepTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		var keepAlives atomic.Int32
		c.store.SetCallDelay(func(path string) time.Duration {
			if strings.HasSuffix(path, keepAlivePath) && keepAlives.Add(1)%2 == 0 {
				return tuning.StoreTimeout
			}
			return 0
		})
		nodes := []*node{c.start("a"), c.start("b")}
		time.Sleep(20 * tuning.LeadershipTTL)
		if c.checkSettled(nodes); c.newestTerm() != 1 {
			t.Errorf("%d terms although half of the keep-alives succeed, want 1", c.newestTerm())
		}
	})
}

func TestHigherObservedTermEndsLeadershipAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		only := c.start("a")
		time.Sleep(time.Second)
		only.candidate.ObserveTerm(records.LeaderRecord{Term: 1, Node: "b"})
		synctest.Wait()
		if only.leading() != 1 {
			t.Fatal("leadership ended by a term that is not higher")
		}
		only.candidate.ObserveTerm(records.LeaderRecord{Term: 2, Node: "b"})
		now := time.Now()
		synctest.Wait()
		if only.leading() != 0 || !only.ended().Equal(now) {
			t.Error("leadership continues after a higher term was observed")
		}
		if leader, known := only.candidate.Leader(); !known || leader.Node != "b" {
			t.Errorf("the candidate reports %v as the leader instead of b", leader)
		}
	})
}

func TestResignLetsTheOtherTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		nodes := []*node{c.start("a"), c.start("b")}
		time.Sleep(time.Second)
		old, others := c.leaderAndOthers(nodes)
		others[0].candidate.Resign() // it does not lead, so this does nothing
		synctest.Wait()
		if old.leading() != 1 {
			t.Fatal("a node that does not lead has ended the term")
		}
		old.candidate.Resign()
		synctest.Wait()
		if old.leading() != 0 {
			t.Error("leadership continues after the leader has resigned")
		}
		time.Sleep(tuning.LeadershipTTL / 4) // the next leader does not wait for a lease to expire
		if others[0].leading() != 2 {
			t.Errorf("the other node leads term %d, want 2", others[0].leading())
		}
		time.Sleep(2 * tuning.StepDownPause)
		c.checkSettled(nodes)
		if others[0].leading() != 2 {
			t.Error("the other node no longer leads term 2")
		}
	})
}

// A node that resigns leaves the next term to others, and leads again if there are none.
func TestResignAloneLeadsAgainAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 7)
		only := c.start("a")
		time.Sleep(time.Second)
		only.candidate.Resign()
		time.Sleep(tuning.StepDownPause / 2)
		if only.leading() != 0 {
			t.Error("the node leads again before the pause after its resignation has ended")
		}
		time.Sleep(tuning.StepDownPause)
		if c.checkSettled([]*node{only}); only.leading() != 2 {
			t.Errorf("the node leads term %d, want 2", only.leading())
		}
		only.candidate.ObserveTerm(records.LeaderRecord{Term: 3, Node: "b"})
		time.Sleep(tuning.LeadershipTTL / 4)
		if only.leading() != 3 {
			t.Errorf("the node leads term %d, want 3 at once after a term that ended without resigning", only.leading())
		}
	})
}

// A restarted node finds its own name under the leader key. It takes a new term without
// waiting for the lease of its earlier process to expire.
func TestRestartedLeaderTakesNewTermAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		first := c.start("a")
		time.Sleep(time.Second)
		first.stop()
		again := c.start("a")
		time.Sleep(tuning.LeadershipTTL / 4)
		if again.leading() != 2 {
			t.Errorf("the restarted node leads term %d, want 2", again.leading())
		}
		c.checkSettled([]*node{again})
	})
}

// The invariants of the model hold under random faults. Once the faults have ended, one
// node leads and all nodes report it as the leader.
func TestInvariantsUnderFaults(t *testing.T) {
	terms := protocol.Term(0)
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed)
				f := newFaults(c, seed) // set before the nodes start, because they use the store's hooks
				var nodes []*node
				for _, name := range []string{"a", "b", "c"} {
					nodes = append(nodes, c.startNode(&node{cluster: c, name: name, endsTermOnConflict: true}))
				}
				f.run(nodes, time.Minute)
				time.Sleep(3*tuning.LeadershipTTL + tuning.StepDownPause)
				c.checkSettled(nodes)
				terms += c.newestTerm()
			})
		})
	}
	if terms < 100 {
		t.Errorf("only %d terms in all runs, the faults cause too few elections", terms)
	}
}
