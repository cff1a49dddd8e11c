package server

import (
	"context"

	"marblehaven/internal/election"
	"marblehaven/internal/leader"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// lead runs the leader for one term. The candidate calls lead when it has won the term,
// and cancels ctx when the term ends.
func (c *controller) lead(ctx context.Context, leadership election.Leadership) {
	termLeader := leader.New(leader.Options{
		Config: c.cfg, Store: c.store, Cloud: c.cloud, Agents: c.agents, Log: c.log,
		OnNewerTerm:               func(term protocol.Term) { c.candidate.ObserveTerm(records.LeaderRecord{Term: term}) },
		Resign:                    c.candidate.Resign,
		RedirectedHeartbeats:      c.peers.RedirectedHeartbeats,
		AcknowledgedCancellations: c.acknowledgedCancellations,
	}, leadership)
	termLeader.Bind(ctx)
	c.activeLeader.Store(termLeader)
	defer c.activeLeader.Store(nil)
	termLeader.Run()
}

// LocalLeader returns the leader that runs in this process, or nil if this controller
// does not lead.
func (c *controller) LocalLeader() *leader.Leader { return c.activeLeader.Load() }

// KnownLeader returns the leader of the highest term that this controller has observed, and
// reports whether that leader is known. The term may have ended since.
func (c *controller) KnownLeader() (records.LeaderRecord, bool) {
	record, ok := c.candidate.Leader()
	return record, ok && record.Node != ""
}

// IsLeader reports whether this controller leads.
func (c *controller) IsLeader() bool { return c.activeLeader.Load() != nil }

// ObserveTerm informs the election of the term and the leader that a peer has reported. A
// peer that has observed no term reports term zero, which is ignored.
func (c *controller) ObserveTerm(record records.LeaderRecord) {
	if record.Term > 0 {
		c.candidate.ObserveTerm(record)
	}
}
