// Package election takes and keeps terms. Safety does not rest on it: every
// write of a leader is guarded by the term key, so a late leader's writes fail.
package election

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"sync/atomic"

	"marblehaven/internal/clock"
	"marblehaven/internal/codec"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// Candidate runs elections for one node.
type Candidate struct {
	store *kvstore.Client
	node  string
	log   *slog.Logger

	leader atomic.Pointer[records.LeaderRecord]      // as last seen; nil: none known
	revoke atomic.Pointer[func(newer protocol.Term)] // while leading
	resign atomic.Bool
}

// New makes a keeper.
func New(store *kvstore.Client, node string, log *slog.Logger) *Candidate {
	return &Candidate{store: store, node: node, log: log}
}

// Leader is who led last, as far as this node knows.
func (k *Candidate) Leader() (records.LeaderRecord, bool) {
	if t := k.leader.Load(); t != nil {
		return *t, true
	}
	return records.LeaderRecord{}, false
}

// ObserveTerm takes in a term heard of from a peer or a worker. A newer one than
// our own ends our leadership at once.
func (k *Candidate) ObserveTerm(t records.LeaderRecord) {
	for {
		cur := k.leader.Load()
		if cur != nil && cur.Term >= t.Term {
			return
		}
		if k.leader.CompareAndSwap(cur, &t) {
			break
		}
	}
	if f := k.revoke.Load(); f != nil {
		(*f)(t.Term)
	}
}

// Resign ends this node's term, if it holds one, so that another node takes over
// at once.
func (k *Candidate) Resign() {
	if f := k.revoke.Load(); f != nil {
		k.resign.Store(true)
		(*f)(math.MaxUint64)
	}
}

// readTerm reads the term under a key, and the key's version: 0 if it does not exist.
func (k *Candidate) readTerm(ctx context.Context, key string) (t records.LeaderRecord, version protocol.Version, err error) {
	entry, err := k.store.Get(ctx, key)
	if err == nil {
		err = codec.Unmarshal(entry.Value, &t)
	}
	return t, entry.Version, err
}

// Run takes part in elections until ctx ends. lead is called with each term
// held; its context ends with the term.
func (k *Candidate) Run(ctx context.Context, lead func(context.Context, Leadership)) {
	for ctx.Err() == nil {
		held, grant, rev, err := k.campaign(ctx)
		switch {
		case held != nil:
			k.log.Info("leading", "term", held.Term)
			k.leader.Store(&records.LeaderRecord{Term: held.Term, Node: k.node})
			grant = k.holdTerm(ctx, *held, grant, lead)
			k.log.Info("no longer leading", "term", held.Term)
			if k.resign.Swap(false) {
				k.stepDown(ctx, grant)
			}
		case err != nil:
			k.log.Debug("election", "err", err)
			clock.Sleep(ctx, tuning.ElectionRetry)
		default:
			k.watch(ctx, rev)
		}
	}
}

// campaign takes the term if nobody holds it. It returns the revision to watch
// from when somebody does.
func (k *Candidate) campaign(ctx context.Context) (*Leadership, protocol.LeaseID, protocol.Revision, error) {
	leader, guard, err := k.readTerm(ctx, records.KeyLeader)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return nil, 0, 0, err
	}
	if err == nil && leader.Node != k.node {
		k.ObserveTerm(leader)
		return nil, 0, guard.Revision(), nil
	}
	// If we are named but do not lead, this is an earlier process of ours, which is
	// gone, or a lost term. It need not be waited out.
	term, termGuard, err := k.readTerm(ctx, records.KeyTerm)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return nil, 0, 0, err
	}
	grant, err := k.store.GrantLease(ctx, tuning.LeadershipTTL)
	if err != nil {
		return nil, 0, 0, err
	}
	mine := records.LeaderRecord{Term: term.Term + 1, Node: k.node}
	r, err := k.store.Commit(ctx, protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: records.KeyLeader, Version: guard}, {Key: records.KeyTerm, Version: termGuard}},
		Mutations: []protocol.Mutation{
			{Set: records.KeyTerm, Value: mine},
			{Set: records.KeyLeader, Value: mine, Lease: grant},
		},
	})
	if err != nil {
		return nil, 0, 0, err // if it was applied after all, the next attempt finds our own name
	}
	return &Leadership{Term: mine.Term, TermVersion: r.Revision.Version()}, grant, 0, nil
}

// watch waits until the leader key goes, or until the state service cannot be
// followed.
func (k *Candidate) watch(ctx context.Context, rev protocol.Revision) {
	for ctx.Err() == nil {
		ev, err := k.store.Watch(ctx, records.KeyLeader, rev, tuning.LeaderWatchHold)
		if err != nil {
			clock.Sleep(ctx, tuning.ElectionRetry)
			return
		}
		rev = ev.Revision
		for _, e := range ev.Events {
			if e.Delete == records.KeyLeader {
				return
			}
			var t records.LeaderRecord
			if e.Set == records.KeyLeader && codec.Unmarshal(e.Value, &t) == nil {
				k.ObserveTerm(t)
				if t.Node == k.node {
					return
				}
			}
		}
	}
}
