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
	Term        protocol.Term
	TermVersion protocol.Version // version of the term key: the guard of all the leader's writes
}

// holdTerm leads until the term is lost, and returns the lease held last.
func (c *Candidate) holdTerm(ctx context.Context, leadership Leadership, lease protocol.LeaseID, lead func(context.Context, Leadership)) protocol.LeaseID {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	endIfOlder := func(newer protocol.Term) {
		if newer > leadership.Term {
			cancel()
		}
	}
	c.endLeadership.Store(&endIfOlder)
	defer c.endLeadership.Store(nil)
	leadEnded := make(chan struct{})
	go func() {
		defer close(leadEnded)
		lead(ctx, leadership)
		cancel()
	}()
	// A touch that takes long must not hold up the next: where one in twenty took
	// a second and a half the term changed every few seconds.
	type keepAliveResult struct {
		lease protocol.LeaseID
		err   error
	}
	results := make(chan keepAliveResult, tuning.KeepAlivesInFlight)
	inFlight := 0
	ticker := time.NewTicker(tuning.KeepAliveInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		var result keepAliveResult
		select {
		case <-ctx.Done():
			continue
		case <-ticker.C:
			if inFlight < tuning.KeepAlivesInFlight {
				inFlight++
				go func(lease protocol.LeaseID) { results <- keepAliveResult{lease, c.store.KeepAlive(ctx, lease)} }(lease)
			}
			continue
		case result = <-results:
			inFlight--
		}
		if result.lease != lease || !errors.Is(result.err, kvstore.ErrLeaseExpired) {
			continue
		}
		// The lease ran out, for instance while this process was held up. If
		// nobody took the term, the leader key is put up again.
		renewed, err := c.store.GrantLease(ctx, tuning.LeadershipTTL)
		if err != nil {
			continue
		}
		lease = renewed
		_, err = c.store.Commit(ctx, protocol.Transaction{
			Preconditions: []protocol.Precondition{{Key: records.KeyTerm, Version: leadership.TermVersion}},
			Mutations:     []protocol.Mutation{{Set: records.KeyLeader, Value: records.LeaderRecord{Term: leadership.Term, Node: c.node}, Lease: lease}},
		})
		if errors.Is(err, kvstore.ErrConflict) {
			cancel()
		}
	}
	<-leadEnded
	return lease
}

// stepDown frees the leader key and leaves the next term to the other nodes,
// unless none of them takes it.
func (c *Candidate) stepDown(ctx context.Context, lease protocol.LeaseID) {
	if err := c.store.RevokeLease(ctx, lease); err != nil {
		c.log.Debug("ending the lease", "err", err) // it runs out by itself
	}
	for start := time.Now(); time.Since(start) < tuning.StepDownPause && clock.Sleep(ctx, tuning.ElectionRetry); {
		if leader, _, err := c.readRecord(ctx, records.KeyLeader); err == nil && leader.Node != c.node {
			return
		}
	}
}
