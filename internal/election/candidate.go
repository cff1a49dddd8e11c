// Package election elects a leader among the nodes by two keys of the key-value store.
//
// The term key counts the terms and outlives every leader. The leader key names who leads
// now; it is attached to the leader's lease, so that it goes when the leader no longer
// keeps the lease alive. A candidate watches the leader key, campaigns when the key is
// gone, and holds the term that it wins until it loses or resigns it.
//
// The package owns both keys: nothing else writes them. It must never be what safety rests
// on. A leader that was replaced may go on for a while before it learns of it, so every
// write of a leader has the version of its term key as a precondition, and fails then.
package election

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"

	"marblehaven/internal/clock"
	"marblehaven/internal/codec"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// LeadFunc leads for a term. Its context ends with the term; if it returns before, the
// term is over as well.
type LeadFunc = func(context.Context, Leadership)

// Candidate takes part in elections for one node. It is safe for concurrent use.
type Candidate struct {
	store *kvstore.Client
	node  string
	log   *slog.Logger

	leader   atomic.Pointer[records.LeaderRecord] // of the highest term known; nil: none
	current  atomic.Pointer[heldTerm]             // nil: this node does not lead
	resigned atomic.Bool                          // whether the term that ends was resigned
}

// New makes a candidate for a node.
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

// ObserveTerm takes in a term that a peer, an agent or the store has told of. A higher one
// than this node's own ends its leadership at once.
func (c *Candidate) ObserveTerm(observed records.LeaderRecord) {
	if !c.raiseLeader(observed) {
		return
	}
	if current := c.current.Load(); current != nil {
		current.endIfBefore(observed.Term)
	}
}

// raiseLeader notes the leader of a term, and returns false if as high a term is known.
func (c *Candidate) raiseLeader(observed records.LeaderRecord) bool {
	for {
		known := c.leader.Load()
		if known != nil && known.Term >= observed.Term {
			return false
		}
		if c.leader.CompareAndSwap(known, &observed) {
			return true
		}
	}
}

// Resign ends this node's term, if it holds one, so that another node takes over at once.
func (c *Candidate) Resign() {
	if current := c.current.Load(); current != nil {
		c.resigned.Store(true) // before the term ends, for Run to see
		current.end()
	}
}

// Run takes part in elections until ctx ends. It calls lead for each term that this node
// holds, and waits for lead to return before it goes on.
func (c *Candidate) Run(ctx context.Context, lead LeadFunc) {
	for ctx.Err() == nil {
		result, err := c.campaign(ctx)
		switch {
		case err != nil:
			c.log.Debug("campaign failed, it is tried again", "err", err)
			clock.Sleep(ctx, tuning.ElectionRetry)
		case result.won:
			c.leadTerm(ctx, result, lead)
		default:
			c.watch(ctx, result.leaderRevision)
		}
	}
}

// leadTerm holds the term that a campaign has won, and steps down after it if this node
// has resigned.
func (c *Candidate) leadTerm(ctx context.Context, result campaignResult, lead LeadFunc) {
	term := result.leadership.Term
	c.log.Info("leading", "term", term)
	c.leader.Store(&records.LeaderRecord{Term: term, Node: c.node})
	lease := c.holdTerm(ctx, result.leadership, result.lease, lead)
	c.log.Info("no longer leading", "term", term)
	if c.resigned.Swap(false) {
		c.stepDown(ctx, lease)
	}
}

// campaignResult is what became of a campaign that did not fail.
type campaignResult struct {
	won        bool
	leadership Leadership       // if won
	lease      protocol.LeaseID // if won: the leader key is attached to it
	// leaderRevision is the revision to watch the leader key from, if another node leads.
	leaderRevision protocol.Revision
}

// campaign takes the next term unless another node leads.
func (c *Candidate) campaign(ctx context.Context) (campaignResult, error) {
	leader, leaderVersion, err := c.readRecord(ctx, records.KeyLeader)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return campaignResult{}, err
	}
	if err == nil && leader.Node != c.node {
		c.ObserveTerm(leader)
		return campaignResult{leaderRevision: leaderVersion.Revision()}, nil
	}
	// A record that names this node, which does not lead, is of an earlier process, which
	// is gone, or of a lost term. Its lease need not be waited out.
	last, termVersion, err := c.readRecord(ctx, records.KeyTerm)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return campaignResult{}, err
	}
	return c.takeTerm(ctx, last.Term+1, termVersion, leaderVersion)
}

// takeTerm makes this node the leader of a term, provided that neither key has changed
// since the campaign has read its version.
func (c *Candidate) takeTerm(ctx context.Context, term protocol.Term, termVersion, leaderVersion protocol.Version) (campaignResult, error) {
	lease, err := c.store.GrantLease(ctx, tuning.LeadershipTTL)
	if err != nil {
		return campaignResult{}, err
	}
	record := records.LeaderRecord{Term: term, Node: c.node}
	reply, err := c.store.Commit(ctx, protocol.Transaction{
		Preconditions: []protocol.Precondition{
			{Key: records.KeyLeader, Version: leaderVersion},
			{Key: records.KeyTerm, Version: termVersion},
		},
		Mutations: []protocol.Mutation{
			{Set: records.KeyTerm, Value: record},
			{Set: records.KeyLeader, Value: record, Lease: lease},
		},
	})
	if err != nil {
		// If it was executed after all, the next campaign finds this node's own name.
		return campaignResult{}, err
	}
	leadership := Leadership{Term: term, TermVersion: reply.Revision.Version()}
	return campaignResult{won: true, leadership: leadership, lease: lease}, nil
}

// readRecord reads the record under a key, and the key's version: 0 if the key does not
// exist.
func (c *Candidate) readRecord(ctx context.Context, key string) (record records.LeaderRecord, version protocol.Version, err error) {
	entry, err := c.store.Get(ctx, key)
	if err == nil {
		err = codec.Unmarshal(entry.Value, &record)
	}
	return record, entry.Version, err
}

// watch waits until the leader key is deleted or names this node, or until the watch
// fails.
func (c *Candidate) watch(ctx context.Context, revision protocol.Revision) {
	for ctx.Err() == nil {
		reply, err := c.store.Watch(ctx, records.KeyLeader, revision, tuning.LeaderWatchHold)
		if err != nil {
			clock.Sleep(ctx, tuning.ElectionRetry)
			return
		}
		revision = reply.Revision
		for _, event := range reply.Events {
			if c.mayCampaignAfter(event) {
				return
			}
		}
	}
}

// mayCampaignAfter takes in a change of the leader key, and tells whether no other node
// leads after it.
func (c *Candidate) mayCampaignAfter(event protocol.WatchEvent) bool {
	if event.Delete == records.KeyLeader {
		return true
	}
	var leader records.LeaderRecord
	if event.Set != records.KeyLeader || codec.Unmarshal(event.Value, &leader) != nil {
		return false
	}
	c.ObserveTerm(leader)
	return leader.Node == c.node
}
