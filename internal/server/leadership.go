package server

import (
	"context"

	"marblehaven/internal/election"
	"marblehaven/internal/leader"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

func (n *controller) lead(ctx context.Context, held election.Leadership) {
	c := leader.New(leader.Dependencies{
		Config: n.cfg, Store: n.store, Cloud: n.cloud, Agents: n.agents, Log: n.log,
		OnNewerTerm:  func(t protocol.Term) { n.candidate.ObserveTerm(records.LeaderRecord{Term: t}) },
		Resign:       n.candidate.Resign,
		Redirected:   n.peers.Redirected,
		Acknowledged: n.acknowledged,
	}, held)
	c.Bind(ctx)
	n.activeLeader.Store(c)
	defer n.activeLeader.Store(nil)
	c.Run()
}

// LocalLeader is the leader of this node's term, nil if it has none.
func (n *controller) LocalLeader() *leader.Leader { return n.activeLeader.Load() }

// Leader is who leads, as far as known.
func (n *controller) Leader() (records.LeaderRecord, bool) {
	t, ok := n.candidate.Leader()
	return t, ok && t.Node != ""
}

// IsLeader tells whether this node leads.
func (n *controller) IsLeader() bool { return n.activeLeader.Load() != nil }

// ObserveTerm takes in a term that a peer has named.
func (n *controller) ObserveTerm(t records.LeaderRecord) {
	if t.Term > 0 {
		n.candidate.ObserveTerm(t)
	}
}
