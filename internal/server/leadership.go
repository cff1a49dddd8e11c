package server

import (
	"context"

	"marblehaven/internal/election"
	"marblehaven/internal/leader"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// lead runs the leader for one term. The candidate calls it when it has won the term,
// and ends ctx when the term is over.
func (c *controller) lead(ctx context.Context, leadership election.Leadership) {
	termLeader := leader.New(leader.Options{
		Config: c.cfg, Store: c.store, Cloud: c.cloud, Agents: c.agents, Log: c.log,
		OnNewerTerm:               func(term protocol.Term) { c.candidate.ObserveTerm(records.LeaderRecord{Term: term}) },
		Resign:                    c.candidate.Resign,
		RedirectedHeartbeats:      c.peers.Redirected,
		AcknowledgedCancellations: c.acknowledgedCancellations,
	}, leadership)
	termLeader.Bind(ctx)
	c.activeLeader.Store(termLeader)
	defer c.activeLeader.Store(nil)
	termLeader.Run()
}

// LocalLeader returns the leader of this controller's term, nil if it does not lead.
func (c *controller) LocalLeader() *leader.Leader { return c.activeLeader.Load() }

// Leader returns the last leader that this controller has learned of, and whether it
// has learned of one. That leader's term may be over by now.
func (c *controller) Leader() (records.LeaderRecord, bool) {
	record, ok := c.candidate.Leader()
	return record, ok && record.Node != ""
}

// IsLeader tells whether this controller leads.
func (c *controller) IsLeader() bool { return c.activeLeader.Load() != nil }

// ObserveTerm takes note of a term that a peer has named. A peer that has seen no term
// names term zero, which says nothing.
func (c *controller) ObserveTerm(record records.LeaderRecord) {
	if record.Term > 0 {
		c.candidate.ObserveTerm(record)
	}
}
