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

// holdTerm leads until the term is lost, and returns the grant held last.
func (k *Candidate) holdTerm(ctx context.Context, held Leadership, grant protocol.LeaseID, lead func(context.Context, Leadership)) protocol.LeaseID {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	depose := func(newer protocol.Term) {
		if newer > held.Term {
			cancel()
		}
	}
	k.revoke.Store(&depose)
	defer k.revoke.Store(nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		lead(ctx, held)
		cancel()
	}()
	// A touch that takes long must not hold up the next: where one in twenty took
	// a second and a half the term changed every few seconds.
	type touch struct {
		grant protocol.LeaseID
		err   error
	}
	touches := make(chan touch, tuning.KeepAlivesInFlight)
	under := 0
	tick := time.NewTicker(tuning.KeepAliveInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		var t touch
		select {
		case <-ctx.Done():
			continue
		case <-tick.C:
			if under < tuning.KeepAlivesInFlight {
				under++
				go func(grant protocol.LeaseID) { touches <- touch{grant, k.store.KeepAlive(ctx, grant)} }(grant)
			}
			continue
		case t = <-touches:
			under--
		}
		if t.grant != grant || !errors.Is(t.err, kvstore.ErrLeaseExpired) {
			continue
		}
		// The grant ran out, for instance while this process was held up. If
		// nobody took the term, the leader key is put up again.
		g, err := k.store.GrantLease(ctx, tuning.LeadershipTTL)
		if err != nil {
			continue
		}
		grant = g
		_, err = k.store.Commit(ctx, protocol.Transaction{
			Preconditions: []protocol.Precondition{{Key: records.KeyTerm, Version: held.TermVersion}},
			Mutations:     []protocol.Mutation{{Set: records.KeyLeader, Value: records.LeaderRecord{Term: held.Term, Node: k.node}, Lease: grant}},
		})
		if errors.Is(err, kvstore.ErrConflict) {
			cancel()
		}
	}
	<-done
	return grant
}

// stepDown frees the leader key and leaves the next term to the other nodes,
// unless none of them takes it.
func (k *Candidate) stepDown(ctx context.Context, grant protocol.LeaseID) {
	if err := k.store.RevokeLease(ctx, grant); err != nil {
		k.log.Debug("ending the grant", "err", err) // it runs out by itself
	}
	for start := time.Now(); time.Since(start) < tuning.StepDownPause && clock.Sleep(ctx, tuning.ElectionRetry); {
		if t, _, err := k.readTerm(ctx, records.KeyLeader); err == nil && t.Node != k.node {
			return
		}
	}
}
