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

	leader        atomic.Pointer[records.LeaderRecord]      // as last seen; nil: none known
	endLeadership atomic.Pointer[func(newer protocol.Term)] // while leading
	resigned      atomic.Bool
}

// New makes a keeper.
func New(store *kvstore.Client, node string, log *slog.Logger) *Candidate {
	return &Candidate{store: store, node: node, log: log}
}

// Leader is who led last, as far as this node knows.
func (c *Candidate) Leader() (records.LeaderRecord, bool) {
	if leader := c.leader.Load(); leader != nil {
		return *leader, true
	}
	return records.LeaderRecord{}, false
}

// ObserveTerm takes in a term heard of from a peer or a worker. A newer one than
// our own ends our leadership at once.
func (c *Candidate) ObserveTerm(observed records.LeaderRecord) {
	for {
		known := c.leader.Load()
		if known != nil && known.Term >= observed.Term {
			return
		}
		if c.leader.CompareAndSwap(known, &observed) {
			break
		}
	}
	if end := c.endLeadership.Load(); end != nil {
		(*end)(observed.Term)
	}
}

// Resign ends this node's term, if it holds one, so that another node takes over
// at once.
func (c *Candidate) Resign() {
	if end := c.endLeadership.Load(); end != nil {
		c.resigned.Store(true)
		(*end)(math.MaxUint64)
	}
}

// readRecord reads the record under a key, and the key's version: 0 if it does not exist.
func (c *Candidate) readRecord(ctx context.Context, key string) (record records.LeaderRecord, version protocol.Version, err error) {
	entry, err := c.store.Get(ctx, key)
	if err == nil {
		err = codec.Unmarshal(entry.Value, &record)
	}
	return record, entry.Version, err
}

// Run takes part in elections until ctx ends. lead is called with each term
// held; its context ends with the term.
func (c *Candidate) Run(ctx context.Context, lead func(context.Context, Leadership)) {
	for ctx.Err() == nil {
		leadership, lease, revision, err := c.campaign(ctx)
		switch {
		case leadership != nil:
			c.log.Info("leading", "term", leadership.Term)
			c.leader.Store(&records.LeaderRecord{Term: leadership.Term, Node: c.node})
			lease = c.holdTerm(ctx, *leadership, lease, lead)
			c.log.Info("no longer leading", "term", leadership.Term)
			if c.resigned.Swap(false) {
				c.stepDown(ctx, lease)
			}
		case err != nil:
			c.log.Debug("election", "err", err)
			clock.Sleep(ctx, tuning.ElectionRetry)
		default:
			c.watch(ctx, revision)
		}
	}
}

// campaign takes the term if nobody holds it. It returns the revision to watch
// from when somebody does.
func (c *Candidate) campaign(ctx context.Context) (*Leadership, protocol.LeaseID, protocol.Revision, error) {
	leader, leaderVersion, err := c.readRecord(ctx, records.KeyLeader)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return nil, 0, 0, err
	}
	if err == nil && leader.Node != c.node {
		c.ObserveTerm(leader)
		return nil, 0, leaderVersion.Revision(), nil
	}
	// If we are named but do not lead, this is an earlier process of ours, which is
	// gone, or a lost term. It need not be waited out.
	term, termVersion, err := c.readRecord(ctx, records.KeyTerm)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return nil, 0, 0, err
	}
	lease, err := c.store.GrantLease(ctx, tuning.LeadershipTTL)
	if err != nil {
		return nil, 0, 0, err
	}
	record := records.LeaderRecord{Term: term.Term + 1, Node: c.node}
	reply, err := c.store.Commit(ctx, protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: records.KeyLeader, Version: leaderVersion}, {Key: records.KeyTerm, Version: termVersion}},
		Mutations: []protocol.Mutation{
			{Set: records.KeyTerm, Value: record},
			{Set: records.KeyLeader, Value: record, Lease: lease},
		},
	})
	if err != nil {
		return nil, 0, 0, err // if it was applied after all, the next attempt finds our own name
	}
	return &Leadership{Term: record.Term, TermVersion: reply.Revision.Version()}, lease, 0, nil
}

// watch waits until the leader key goes, or until the state service cannot be
// followed.
func (c *Candidate) watch(ctx context.Context, revision protocol.Revision) {
	for ctx.Err() == nil {
		reply, err := c.store.Watch(ctx, records.KeyLeader, revision, tuning.LeaderWatchHold)
		if err != nil {
			clock.Sleep(ctx, tuning.ElectionRetry)
			return
		}
		revision = reply.Revision
		for _, event := range reply.Events {
			if event.Delete == records.KeyLeader {
				return
			}
			var leader records.LeaderRecord
			if event.Set == records.KeyLeader && codec.Unmarshal(event.Value, &leader) == nil {
				c.ObserveTerm(leader)
				if leader.Node == c.node {
					return
				}
			}
		}
	}
}
