package server

import (
	"context"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/leader"
	"marblehaven/internal/peer"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// Summary is the leader's status, from whichever node.
func (n *controller) Summary(ctx context.Context) (s leader.Status, ok bool) {
	if c := n.activeLeader.Load(); c != nil {
		return c.Status(ctx)
	}
	t, known := n.Leader()
	if !known {
		return s, false
	}
	raw := n.peers.Summary(ctx, t.Node)
	return s, raw != nil && codec.Unmarshal(raw, &s) == nil
}

// acknowledged returns the jobs that controllers, this one included, have told
// users are cancelled, and the time up to which none of those told after since is
// missing; ok is false if one of them cannot tell.
func (n *controller) acknowledged(since time.Time) (asOf time.Time, jobIDs []protocol.JobID, ok bool) {
	now := time.Now() // what this node tells users from here on is later than asOf
	own, complete := n.users.Acknowledged()
	if !complete.Before(since) {
		return asOf, nil, false
	}
	asOf, jobIDs, ok = n.peers.Acknowledged(since)
	if asOf.IsZero() {
		asOf = now
	}
	return asOf, append(own, jobIDs...), ok
}

// Status is what this node says to its peers.
func (n *controller) Status(r *peer.StatusRequest) peer.Status {
	s := peer.Status{StateMS: n.store.SinceServed().Milliseconds(), Redirected: n.api.Redirected()}
	s.Leader, _ = n.candidate.Leader()
	if r.Acknowledged {
		var since time.Time
		s.Acknowledged, since = n.users.Acknowledged()
		s.CompleteMS = time.Since(since).Milliseconds()
	}
	if c := n.activeLeader.Load(); r.Summary && c != nil {
		ctx, cancel := context.WithTimeout(context.Background(), tuning.PeerTimeout)
		defer cancel()
		if sum, ok := c.Status(ctx); ok {
			s.Summary, _ = codec.Marshal(sum)
		}
	}
	return s
}

// UserCall answers a user's call for a peer.
func (n *controller) UserCall(ctx context.Context, c *peer.UserCall) *peer.UserAnswer {
	return n.users.UserCall(ctx, c)
}
