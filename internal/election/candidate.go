// Package election elects a leader among the nodes with two keys of the key-value store.
//
// The term key counts the terms and outlives every leader. The leader key names the
// current leader. It is attached to the leader's lease, so the store deletes the key when
// the leader no longer keeps the lease alive. A candidate watches the leader key,
// campaigns when the key does not exist, and holds the term that it wins until it loses
// or resigns the term.
//
// The package owns both keys: nothing else writes them. Safety must never depend on the
// election alone. A replaced leader may continue for a while before it detects the newer
// term, so every write of a leader has the version of its term key as a precondition, and
// fails after the replacement.
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

// LeadFunc runs the leader for one term. Its context ends with the term. If the function
// returns earlier, the term ends as well.
type LeadFunc = func(context.Context, Leadership)

// Candidate takes part in elections for one node. It is safe for concurrent use.
type Candidate struct {
	store *kvstore.Client
	node  string
	log   *slog.Logger

	leader   atomic.Pointer[records.LeaderRecord] // of the highest observed term; nil: none
	current  atomic.Pointer[heldTerm]             // nil: this node does not lead
	resigned atomic.Bool                          // whether the node resigned the term that is ending
}

// New returns a candidate for a node.
func New(store *kvstore.Client, node string, log *slog.Logger) *Candidate {
	return &Candidate{store: store, node: node, log: log}
}

// Leader returns the leader of the highest term that this node has observed, and whether
// there is one.
func (c *Candidate) Leader() (records.LeaderRecord, bool) {
	if leader := c.leader.Load(); leader != nil {
		return *leader, true
	}
	return records.LeaderRecord{}, false
}

// ObserveTerm records a term reported by a peer, an agent or the store. A term higher
// than the one that this node holds ends its leadership at once.
func (c *Candidate) ObserveTerm(observed records.LeaderRecord) {
	if !c.recordNewerLeader(observed) {
		return
	}
	if current := c.current.Load(); current != nil {
		current.endIfBefore(observed.Term)
	}
}

// recordNewerLeader records the leader of a term, and returns false if that term or a
// higher one is recorded already.
func (c *Candidate) recordNewerLeader(observed records.LeaderRecord) bool {
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
		c.resigned.Store(true) // set before the term ends, so that leadTerm reads it afterwards
		current.end()
	}
}

// Run takes part in elections until ctx ends. It calls lead for each term that this node
// holds, and waits for lead to return before it campaigns again.
func (c *Candidate) Run(ctx context.Context, lead LeadFunc) {
	for ctx.Err() == nil {
		result, err := c.campaign(ctx)
		switch {
		case err != nil:
			c.log.Debug("campaign for the next term failed, it is retried after a pause", "err", err)
			clock.Sleep(ctx, tuning.StoreRetryPause)
		case result.won:
			c.leadTerm(ctx, result, lead)
		default:
			c.watch(ctx, result.leaderRevision)
		}
	}
}

// leadTerm holds the term that a campaign has won, and afterwards steps down if this node
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

// campaignResult is the outcome of a campaign that did not fail.
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
	// A record that names this node while the node does not lead stems from an earlier
	// process that has exited, or from a term that was lost. The campaign need not wait
	// for the lease of that record to expire.
	last, termVersion, err := c.readRecord(ctx, records.KeyTerm)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return campaignResult{}, err
	}
	return c.takeTerm(ctx, last.Term+1, termVersion, leaderVersion)
}

// takeTerm makes this node the leader of a term, provided that neither key has changed
// since the campaign read its version.
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
		// If the transaction was executed in spite of the error, the next campaign reads
		// this node's own name under the leader key.
		return campaignResult{}, err
	}
	leadership := Leadership{Term: term, TermVersion: reply.Revision.Version()}
	return campaignResult{won: true, leadership: leadership, lease: lease}, nil
}

// readRecord reads the record under a key and the key's version, which is 0 if the key
// does not exist.
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
			clock.Sleep(ctx, tuning.StoreRetryPause)
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

// mayCampaignAfter applies a change of the leader key, and reports whether no other node
// leads after the change.
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
