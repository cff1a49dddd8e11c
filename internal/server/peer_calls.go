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

// Summary returns the leader's status, asking the leader's controller if this one does
// not lead; ok is false if the leader is unknown or does not answer.
func (c *controller) Summary(ctx context.Context) (summary leader.Status, ok bool) {
	if local := c.activeLeader.Load(); local != nil {
		return local.Status(ctx)
	}
	record, known := c.Leader()
	if !known {
		return summary, false
	}
	encoded := c.peers.Summary(ctx, record.Node)
	return summary, encoded != nil && codec.Unmarshal(encoded, &summary) == nil
}

// acknowledgedCancellations returns the jobs that controllers, this one included, have told users
// are cancelled. The list is complete for all that were told after since and up to
// asOf; ok is false if one of the controllers cannot vouch for that.
func (c *controller) acknowledgedCancellations(since time.Time) (asOf time.Time, jobIDs []protocol.JobID, ok bool) {
	// The clock is read before the list: what this controller tells users from here
	// on is later than asOf.
	now := time.Now()
	own, completeSince := c.users.AcknowledgedCancellations()
	if !completeSince.Before(since) {
		return asOf, nil, false
	}
	asOf, jobIDs, ok = c.peers.AcknowledgedCancellations(since)
	if asOf.IsZero() {
		asOf = now
	}
	return asOf, append(own, jobIDs...), ok
}

// Status returns what this controller tells a peer that asks for its status.
func (c *controller) Status(request *peer.StatusRequest) peer.Status {
	status := peer.Status{SinceStoreServedMS: c.store.SinceServed().Milliseconds(), Redirected: c.api.Redirected()}
	status.Leader, _ = c.candidate.Leader()
	if request.Acknowledged {
		var completeSince time.Time
		status.Acknowledged, completeSince = c.users.AcknowledgedCancellations()
		status.AcknowledgedCompleteMS = time.Since(completeSince).Milliseconds()
	}
	if local := c.activeLeader.Load(); request.Summary && local != nil {
		ctx, cancel := context.WithTimeout(context.Background(), tuning.PeerTimeout)
		defer cancel()
		if summary, ok := local.Status(ctx); ok {
			status.Summary, _ = codec.Marshal(summary)
		}
	}
	return status
}

// UserCall answers a user's call that a peer has forwarded.
func (c *controller) UserCall(ctx context.Context, call *peer.UserCall) *peer.UserAnswer {
	return c.users.UserCall(ctx, call)
}
