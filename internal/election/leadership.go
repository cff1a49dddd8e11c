package election

import (
	"context"
	"errors"
	"time"

	"marblehaven/internal/clock"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// Leadership is a term that this node holds.
type Leadership struct {
	Term protocol.Term
	// TermVersion is the version of the term key, which all of the leader's writes have
	// as a precondition.
	TermVersion protocol.Version
}

// heldTerm is a term while this node holds it.
type heldTerm struct {
	term protocol.Term
	end  context.CancelFunc
}

// endIfBefore ends the term if the other term is higher.
func (h *heldTerm) endIfBefore(other protocol.Term) {
	if other > h.term {
		h.end()
	}
}

// holdTerm runs lead until the term is lost or resigned, waits for lead to return, and
// returns the newest lease of the term.
func (c *Candidate) holdTerm(ctx context.Context, leadership Leadership, lease protocol.LeaseID, lead LeadFunc) protocol.LeaseID {
	ctx, end := context.WithCancel(ctx)
	defer end()
	c.current.Store(&heldTerm{term: leadership.Term, end: end})
	defer c.current.Store(nil)
	leadReturned := make(chan struct{})
	go func() {
		defer close(leadReturned)
		lead(ctx, leadership)
		end()
	}()
	keepAlive := newKeepAliveLoop(c.store, c.node, leadership, lease)
	keepAlive.run(ctx, end)
	<-leadReturned
	return keepAlive.lease
}

// stepDown revokes the lease, which deletes the leader key, and leaves the next term to
// the other nodes unless none of them takes it within tuning.StepDownPause.
func (c *Candidate) stepDown(ctx context.Context, lease protocol.LeaseID) {
	if err := c.store.RevokeLease(ctx, lease); err != nil {
		c.log.Debug("revoking the leadership lease failed, the leader key remains until the lease expires", "err", err)
	}
	start := time.Now()
	for time.Since(start) < tuning.StepDownPause && clock.Sleep(ctx, tuning.StoreRetryPause) {
		leader, _, err := c.readRecord(ctx, records.KeyLeader)
		if err == nil && leader.Node != c.node {
			return
		}
	}
}

// keepAliveLoop keeps the lease of a leader alive, and requests a new one from the store
// when the lease has expired without another node taking the next term.
type keepAliveLoop struct {
	store      *kvstore.Client
	node       string
	leadership Leadership

	lease    protocol.LeaseID     // the newest lease
	results  chan keepAliveResult // has room for all keep-alives in flight, so that no send blocks
	inFlight int
}

type keepAliveResult struct {
	lease protocol.LeaseID
	err   error
}

func newKeepAliveLoop(store *kvstore.Client, node string, leadership Leadership, lease protocol.LeaseID) *keepAliveLoop {
	return &keepAliveLoop{
		store:      store,
		node:       node,
		leadership: leadership,
		lease:      lease,
		results:    make(chan keepAliveResult, tuning.KeepAlivesInFlight),
	}
}

// run keeps the lease alive until ctx ends. It calls endTerm when the store shows that
// another node has taken a newer term.
func (k *keepAliveLoop) run(ctx context.Context, endTerm func()) {
	ticker := time.NewTicker(tuning.KeepAliveInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			k.send(ctx)
		case result := <-k.results:
			k.inFlight--
			if k.hasExpired(result) {
				k.renewLease(ctx, endTerm)
			}
		}
	}
}

// send sends a keep-alive without waiting for those before. If each one waited for the
// previous one, a slow one would let the lease expire: with one in twenty taking a second
// and a half, the term changed every few seconds.
//
// The goroutine is not awaited when the term ends: its call ends with ctx, the channel
// always has room for its result, and a late keep-alive does no harm.
func (k *keepAliveLoop) send(ctx context.Context) {
	if k.inFlight == tuning.KeepAlivesInFlight {
		return
	}
	k.inFlight++
	lease := k.lease
	go func() { k.results <- keepAliveResult{lease, k.store.KeepAlive(ctx, lease)} }()
}

// hasExpired reports whether a keep-alive shows that the newest lease has expired.
// Results for an earlier lease, which may still be in flight after a renewal, are
// ignored.
func (k *keepAliveLoop) hasExpired(result keepAliveResult) bool {
	return result.lease == k.lease && errors.Is(result.err, kvstore.ErrLeaseExpired)
}

// renewLease requests a new lease from the store and sets the leader key again, provided
// that the term is still this leader's. A lease can expire without a newer term, for
// instance while this process is stalled.
//
// If no lease is granted, renewLease is called again after the next keep-alive that finds
// the old lease expired. If the transaction fails for a reason other than a conflict, the
// leader key is not set again while the new lease is alive. Another node may then take
// the next term. This leader detects that when the precondition of a write on the term key
// fails.
func (k *keepAliveLoop) renewLease(ctx context.Context, endTerm func()) {
	lease, err := k.store.GrantLease(ctx, tuning.LeadershipTTL)
	if err != nil {
		return
	}
	k.lease = lease
	record := records.LeaderRecord{Term: k.leadership.Term, Node: k.node}
	_, err = k.store.Commit(ctx, protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: records.KeyTerm, Version: k.leadership.TermVersion}},
		Mutations:     []protocol.Mutation{{Set: records.KeyLeader, Value: record, Lease: lease}},
	})
	if errors.Is(err, kvstore.ErrConflict) {
		endTerm()
	}
}
