package election_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/election"
	"marblehaven/internal/fake"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// cluster is some candidates of one election against a fake store, with the plain model
// that they are compared with: the terms are 1, 2, 3, ..., each is led by one node at
// most, and the store takes writes from the newest term only.
type cluster struct {
	t       *testing.T
	store   *fake.Store
	network *fake.Network

	mu     sync.Mutex
	newest protocol.Term            // by the writes of the term key that the store has executed
	ledBy  map[protocol.Term]string // the node that was told that it leads a term
	writes map[protocol.Term]int    // writes executed for the leader of a term
}

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{t: t, store: fake.NewStore(), network: fake.NewNetwork(seed),
		ledBy: map[protocol.Term]string{}, writes: map[protocol.Term]int{}}
	c.network.Listen("store", "store:1", c.store)
	c.store.OnCommit = c.onCommit
	// Runs after the nodes have stopped: their leases expire, and what the store still
	// holds open ends.
	t.Cleanup(func() { time.Sleep(tuning.LeadershipTTL + 2*tuning.LeaderWatchHold) })
	return c
}

const workPrefix = "work/"

// onCommit checks each executed write against the model.
func (c *cluster) onCommit(txn *protocol.Transaction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, mutation := range txn.Mutations {
		var term protocol.Term
		if mutation.Set == records.KeyTerm {
			c.newest++
		} else if _, err := fmt.Sscanf(mutation.Set, workPrefix+"%d", &term); err == nil {
			c.writes[term]++
			if term != c.newest {
				c.t.Errorf("the store executed a write of term %d in term %d", term, c.newest)
			}
		}
	}
}

func (c *cluster) writesOf(term protocol.Term) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes[term]
}

func (c *cluster) newestTerm() protocol.Term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// node is one node that takes part in the election.
type node struct {
	cluster   *cluster
	name      string
	store     *kvstore.Client
	candidate *election.Candidate
	stop      func() // ends the node and waits for it
	// obeysFencing makes the node's leader give up its term after a conflict; without,
	// only the candidate can end the term.
	obeysFencing bool

	mu      sync.Mutex
	leads   protocol.Term // 0: none
	last    protocol.Term // the last term it led
	endedAt time.Time     // when that ended
}

// start starts a node, which stops when the test ends.
func (c *cluster) start(name string) *node { return c.startNode(&node{cluster: c, name: name}) }

func (c *cluster) startNode(n *node) *node {
	limits := config.State{StateLimits: config.StateLimits{ValueKB: 32, TxnOps: 20}}
	log := slog.New(slog.DiscardHandler)
	ctx, cancel := context.WithCancel(c.t.Context())
	n.store = kvstore.New("store:1", c.network.From(ctx, n.name), httpclient.NewMalformedLog(log), limits)
	n.candidate = election.New(n.store, n.name, log)
	var running sync.WaitGroup
	running.Go(func() { n.candidate.Run(ctx, n.lead) })
	n.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
	})
	c.t.Cleanup(n.stop)
	return n
}

// lead writes as a leader does until its term ends. Like the real one it gives up the
// term when the precondition on the term key fails: a candidate whose new lease is alive,
// while the transaction that sets the leader key again was lost, does not see by itself
// that another node has taken the term.
func (n *node) lead(ctx context.Context, leadership election.Leadership) {
	n.begin(leadership.Term)
	for ctx.Err() == nil {
		_, err := n.store.Commit(ctx, protocol.Transaction{
			Preconditions: []protocol.Precondition{{Key: records.KeyTerm, Version: leadership.TermVersion}},
			Mutations:     []protocol.Mutation{{Set: fmt.Sprint(workPrefix, leadership.Term), Value: 1}},
		})
		if n.obeysFencing && errors.Is(err, kvstore.ErrConflict) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leads, n.endedAt = 0, time.Now()
}

func (n *node) begin(term protocol.Term) {
	n.cluster.mu.Lock()
	if other := n.cluster.ledBy[term]; other != "" {
		n.cluster.t.Errorf("term %d is led by %s and by %s", term, other, n.name)
	}
	if term > n.cluster.newest {
		n.cluster.t.Errorf("%s leads term %d, which the store does not know", n.name, term)
	}
	n.cluster.ledBy[term] = n.name
	n.cluster.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leads != 0 || term <= n.last {
		n.cluster.t.Errorf("%s leads term %d after term %d, and %d still", n.name, term, n.last, n.leads)
	}
	n.leads, n.last = term, term
}

func (n *node) leading() protocol.Term {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leads
}

func (n *node) ended() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endedAt
}

// split returns the one node that leads the newest term, and the others.
func (c *cluster) split(nodes []*node) (leader *node, others []*node) {
	c.t.Helper()
	for _, n := range nodes {
		if n.leading() == c.newestTerm() {
			leader = n
		} else {
			others = append(others, n)
		}
	}
	if leader == nil || len(others) != len(nodes)-1 {
		c.t.Fatalf("%d of %d nodes do not lead term %d", len(others), len(nodes), c.newestTerm())
	}
	return leader, others
}

// checkSettled checks that one node leads, that nobody else believes to, and that all
// know who it is.
func (c *cluster) checkSettled(nodes []*node) {
	c.t.Helper()
	leader, others := c.split(nodes)
	for _, n := range others {
		if n.leading() != 0 {
			c.t.Errorf("%s still leads term %d in term %d of %s", n.name, n.leading(), c.newestTerm(), leader.name)
		}
	}
	for _, n := range nodes {
		want := records.LeaderRecord{Term: c.newestTerm(), Node: leader.name}
		if got, known := n.candidate.Leader(); !known || got != want {
			c.t.Errorf("%s knows %v as the leader instead of %v", n.name, got, want)
		}
	}
	before := c.writesOf(c.newestTerm())
	time.Sleep(time.Second)
	if c.writesOf(c.newestTerm()) == before {
		c.t.Errorf("the leader's writes are not executed in term %d", c.newestTerm())
	}
}

// keepAlivePath is in the paths of keep-alives, and of no other request.
const keepAlivePath = "/touch"

func TestOneOfTwoLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		nodes := []*node{c.start("a"), c.start("b")}
		time.Sleep(10 * tuning.LeadershipTTL)
		c.checkSettled(nodes)
		if c.newestTerm() != 1 {
			t.Errorf("%d terms without a fault", c.newestTerm())
		}
	})
}

func TestLeaseExpiryHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		nodes := []*node{c.start("a"), c.start("b")}
		time.Sleep(time.Second)
		old, others := c.split(nodes)
		mend := c.network.BlockOutbound(old.name)
		time.Sleep(tuning.LeadershipTTL / 3) // the lease has been kept alive since
		if others[0].leading() != 0 {
			t.Error("the other node leads before the lease has expired")
		}
		time.Sleep(tuning.LeadershipTTL)
		if others[0].leading() != 2 {
			t.Errorf("the other node leads term %d after the lease has expired", others[0].leading())
		}
		mend()
		time.Sleep(2 * tuning.KeepAliveInterval)
		c.checkSettled(nodes)
	})
}

// A leader whose lease expires while nobody takes over keeps its term: a new one would
// make all agents and peers shake hands anew.
func TestLeaseExpiryWithoutRivalKeepsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		only := c.start("a")
		time.Sleep(time.Second)
		mend := c.network.BlockOutbound(only.name)
		time.Sleep(3 * tuning.LeadershipTTL)
		if c.store.Value(records.KeyLeader) != nil {
			t.Fatal("the lease has not expired")
		}
		mend()
		time.Sleep(2 * tuning.KeepAliveInterval)
		if c.store.Value(records.KeyLeader) == nil {
			t.Error("the leader key is not set again")
		}
		time.Sleep(3 * tuning.LeadershipTTL)
		if c.store.Value(records.KeyLeader) == nil {
			t.Error("the second lease is not kept alive")
		}
		// The fake store numbers leases from 1: the third is this one.
		if probe, err := only.store.GrantLease(t.Context(), time.Second); err != nil || probe != 3 {
			t.Errorf("%d leases granted for one expiry, %v", probe-1, err)
		}
		if c.checkSettled([]*node{only}); only.leading() != 1 {
			t.Errorf("leads term %d", only.leading())
		}
	})
}

// A keep-alive that hangs does not hold up the next one, so that it does not cost the lease.
func TestHangingKeepAlivesKeepTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		var keepAlives atomic.Int32
		c.store.Slow = func(path string) time.Duration {
			if strings.HasSuffix(path, keepAlivePath) && keepAlives.Add(1)%2 == 0 {
				return tuning.StateTimeout
			}
			return 0
		}
		nodes := []*node{c.start("a"), c.start("b")}
		time.Sleep(20 * tuning.LeadershipTTL)
		if c.checkSettled(nodes); c.newestTerm() != 1 {
			t.Errorf("%d terms", c.newestTerm())
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
			t.Error("leadership goes on after a higher term was observed")
		}
		if leader, known := only.candidate.Leader(); !known || leader.Node != "b" {
			t.Errorf("knows %v as the leader", leader)
		}
	})
}

func TestResignLetsTheOtherTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		nodes := []*node{c.start("a"), c.start("b")}
		time.Sleep(time.Second)
		old, others := c.split(nodes)
		others[0].candidate.Resign() // it does not lead, so this does nothing
		synctest.Wait()
		if old.leading() != 1 {
			t.Fatal("a node that does not lead has ended the term")
		}
		old.candidate.Resign()
		synctest.Wait()
		if old.leading() != 0 {
			t.Error("leadership goes on after the leader has resigned")
		}
		time.Sleep(tuning.LeadershipTTL / 4) // no lease is waited out
		if others[0].leading() != 2 {
			t.Errorf("the other node leads term %d", others[0].leading())
		}
		time.Sleep(2 * tuning.StepDownPause)
		c.checkSettled(nodes)
		if others[0].leading() != 2 {
			t.Error("the term has not stayed with the other node")
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
			t.Error("leads again at once")
		}
		time.Sleep(tuning.StepDownPause)
		if c.checkSettled([]*node{only}); only.leading() != 2 {
			t.Errorf("leads term %d", only.leading())
		}
		only.candidate.ObserveTerm(records.LeaderRecord{Term: 3, Node: "b"})
		time.Sleep(tuning.LeadershipTTL / 4)
		if only.leading() != 3 {
			t.Errorf("leads term %d after a term that ended without resigning", only.leading())
		}
	})
}

// A node that starts again finds itself named as the leader. It takes a new term without
// waiting for the lease of its earlier process.
func TestRestartedLeaderTakesNewTermAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		first := c.start("a")
		time.Sleep(time.Second)
		first.stop()
		again := c.start("a")
		time.Sleep(tuning.LeadershipTTL / 4)
		if again.leading() != 2 {
			t.Errorf("leads term %d", again.leading())
		}
		c.checkSettled([]*node{again})
	})
}

// Whatever fails, the invariants of the model hold, and once nothing fails any more one
// node leads and all know it.
func TestInvariantsUnderFaults(t *testing.T) {
	terms := protocol.Term(0)
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed)
				f := newFaults(c, seed) // before the nodes start: they read the store's hooks
				var nodes []*node
				for _, name := range []string{"a", "b", "c"} {
					nodes = append(nodes, c.startNode(&node{cluster: c, name: name, obeysFencing: true}))
				}
				f.run(nodes, time.Minute)
				time.Sleep(3*tuning.LeadershipTTL + tuning.StepDownPause)
				c.checkSettled(nodes)
				terms += c.newestTerm()
			})
		})
	}
	if terms < 100 {
		t.Errorf("only %d terms: the faults are too few", terms)
	}
}

// faults makes the network, the store and the nodes fail at random.
type faults struct {
	cluster *cluster

	mu     sync.Mutex // the store asks from several goroutines
	rng    *rand.Rand
	active bool // whether the store fails
}

// newFaults makes the store of a cluster fail while run runs.
func newFaults(c *cluster, seed uint64) *faults {
	f := &faults{cluster: c, rng: rand.New(rand.NewPCG(seed, 9))}
	c.store.LoseReply = func() bool { return f.storeFails(10) }
	c.store.Late = func() time.Duration {
		if f.storeFails(6) {
			return time.Duration(f.intN(10000)) * time.Millisecond
		}
		return 0
	}
	c.store.Slow = func(string) time.Duration {
		if f.storeFails(20) {
			return time.Duration(f.intN(3000)) * time.Millisecond
		}
		return 0
	}
	return f
}

func (f *faults) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// storeFails picks one in so many requests while faults are active.
func (f *faults) storeFails(oneIn int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active && f.rng.IntN(oneIn) == 0
}

func (f *faults) setActive(active bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = active
}

// run makes faults for so long, and leaves none behind.
func (f *faults) run(nodes []*node, total time.Duration) {
	f.setActive(true)
	defer f.setActive(false)
	for start := time.Now(); time.Since(start) < total; {
		f.one(nodes[f.intN(len(nodes))], nodes)
		time.Sleep(time.Duration(f.intN(1500)) * time.Millisecond)
	}
}

// one makes one fault at a node and ends it.
func (f *faults) one(n *node, nodes []*node) {
	lasts := time.Duration(f.intN(4000)) * time.Millisecond
	switch f.intN(5) {
	case 0:
		n.candidate.Resign()
	case 1: // a peer tells who led last
		if leader, known := nodes[f.intN(len(nodes))].candidate.Leader(); known {
			n.candidate.ObserveTerm(leader)
		}
	case 2:
		mend := f.cluster.network.BlockOutbound(n.name)
		time.Sleep(lasts)
		mend()
	case 3:
		mend := f.cluster.network.Cut(n.name, "store", fake.Hold)
		time.Sleep(lasts)
		mend()
	case 4:
		mend := f.cluster.network.Cut(n.name, "store", fake.Reset)
		time.Sleep(lasts)
		mend()
	}
}
