package election_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
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

// cluster runs candidates of one election against a fake store and compares them with a
// model: the terms are 1, 2, 3, ..., each is led by at most one node, and the store
// executes writes of the newest term only.
type cluster struct {
	t       *testing.T
	store   *fake.Store
	network *fake.Network

	mu     sync.Mutex
	newest protocol.Term            // counts the writes of the term key that the store has executed
	ledBy  map[protocol.Term]string // the node whose lead was called for a term
	writes map[protocol.Term]int    // writes executed for the leader of a term
}

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{t: t, store: fake.NewStore(), network: fake.NewNetwork(seed),
		ledBy: map[protocol.Term]string{}, writes: map[protocol.Term]int{}}
	c.network.Listen("store", "store:1", c.store)
	c.store.SetOnCommit(c.onCommit)
	// Runs after the nodes have stopped, and waits until their leases have expired and the
	// watches that the store still holds open have ended.
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
	stop      func() // stops the node and waits until it has stopped
	// endsTermOnConflict makes the node's leader give up its term after a conflict. Without
	// it, only the candidate can end the term.
	endsTermOnConflict bool

	mu        sync.Mutex
	leadsTerm protocol.Term // the term it leads; 0: none
	lastTerm  protocol.Term // the last term it led
	endedAt   time.Time     // when the last term ended
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

// lead writes as a leader does until its term ends. With endsTermOnConflict it gives up the
// term, like the real leader, when the precondition on the term key fails. The candidate
// alone does not always detect that another node has taken the next term: it fails to if
// the transaction that sets the leader key again is lost while a new lease is kept alive.
func (n *node) lead(ctx context.Context, leadership election.Leadership) {
	n.beginTerm(leadership.Term)
	for ctx.Err() == nil {
		_, err := n.store.Commit(ctx, protocol.Transaction{
			Preconditions: []protocol.Precondition{{Key: records.KeyTerm, Version: leadership.TermVersion}},
			Mutations:     []protocol.Mutation{{Set: fmt.Sprint(workPrefix, leadership.Term), Value: 1}},
		})
		if n.endsTermOnConflict && errors.Is(err, kvstore.ErrConflict) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leadsTerm, n.endedAt = 0, time.Now()
}

func (n *node) beginTerm(term protocol.Term) {
	n.cluster.mu.Lock()
	if other := n.cluster.ledBy[term]; other != "" {
		n.cluster.t.Errorf("term %d is led by %s and by %s", term, other, n.name)
	}
	if term > n.cluster.newest {
		n.cluster.t.Errorf("%s leads term %d, which is not in the store", n.name, term)
	}
	n.cluster.ledBy[term] = n.name
	n.cluster.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadsTerm != 0 || term <= n.lastTerm {
		n.cluster.t.Errorf("%s began to lead term %d; its last term was %d and the term it still leads is %d (0: none)", n.name, term, n.lastTerm, n.leadsTerm)
	}
	n.leadsTerm, n.lastTerm = term, term
}

func (n *node) leading() protocol.Term {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leadsTerm
}

func (n *node) ended() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endedAt
}

// leaderAndOthers returns the only node that leads the newest term, and the others.
func (c *cluster) leaderAndOthers(nodes []*node) (leader *node, others []*node) {
	c.t.Helper()
	for _, n := range nodes {
		if n.leading() == c.newestTerm() {
			leader = n
		} else {
			others = append(others, n)
		}
	}
	if leader == nil || len(others) != len(nodes)-1 {
		c.t.Fatalf("%d of %d nodes do not lead term %d, want all but one", len(others), len(nodes), c.newestTerm())
	}
	return leader, others
}

// checkSettled checks that one node leads, that no other node acts as a leader, that all
// nodes report the same leader, and that the leader's writes are executed.
func (c *cluster) checkSettled(nodes []*node) {
	c.t.Helper()
	leader, others := c.leaderAndOthers(nodes)
	for _, n := range others {
		if n.leading() != 0 {
			c.t.Errorf("%s still leads term %d in term %d of %s", n.name, n.leading(), c.newestTerm(), leader.name)
		}
	}
	for _, n := range nodes {
		want := records.LeaderRecord{Term: c.newestTerm(), Node: leader.name}
		if got, known := n.candidate.Leader(); !known || got != want {
			c.t.Errorf("%s reports %v as the leader instead of %v", n.name, got, want)
		}
	}
	before := c.writesOf(c.newestTerm())
	time.Sleep(time.Second)
	if c.writesOf(c.newestTerm()) == before {
		c.t.Errorf("the leader's writes are not executed in term %d", c.newestTerm())
	}
}
