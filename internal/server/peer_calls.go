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

// Summary returns the leader's status. If another controller leads, Summary asks that
// controller; ok is false if the leader is unknown or does not answer.
func (c *controller) Summary(ctx context.Context) (summary leader.Status, ok bool) {
	if local := c.activeLeader.Load(); local != nil {
		return local.Status(ctx)
	}
	record, known := c.KnownLeader()
	if !known {
		return summary, false
	}
	encoded := c.peers.Summary(ctx, record.Node)
	return summary, encoded != nil && codec.Unmarshal(encoded, &summary) == nil
}

// acknowledgedCancellations returns the jobs whose cancellation the controllers, this one
// included, have acknowledged to users. The list contains every acknowledgment made after
// since and up to asOf; ok is false if the list of one of the controllers may be incomplete
// for that time.
func (c *controller) acknowledgedCancellations(since time.Time) (asOf time.Time, jobIDs []protocol.JobID, ok bool) {
	// The clock is read before the list, so an acknowledgment that the list lacks is
	// later than asOf.
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

// Status returns this controller's status for a peer, with the parts that the request
// asks for.
func (c *controller) Status(request *peer.StatusRequest) peer.Status {
	status := peer.Status{SinceStoreServedMS: c.store.SinceServed().Milliseconds(), RedirectedHeartbeats: c.api.RedirectedHeartbeats()}
	status.Leader, _ = c.candidate.Leader()
	if request.AcknowledgedCancellations {
		var completeSince time.Time
		status.AcknowledgedCancellations, completeSince = c.users.AcknowledgedCancellations()
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
