package peer

import (
	"context"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// exchange holds the result of a successful exchange of statuses with a peer. The peer
// composed its status at some moment between the two times. Both are zero before the first
// exchange.
type exchange struct {
	sentAt     time.Time
	receivedAt time.Time
	status     Status
}

// completed reports whether there has been an exchange.
func (e *exchange) completed() bool { return !e.sentAt.IsZero() }

// storeServedAt returns when the key-value store last served the peer.
func (e *exchange) storeServedAt() time.Time {
	return e.receivedAt.Add(-milliseconds(e.status.SinceStoreServedMS))
}

// acknowledgedCompleteSince returns the time since which the peer's list of acknowledged
// cancellations is complete. The peer measured AcknowledgedCompleteMS before its reply
// arrived here, so the result may be too late but is never too early.
func (e *exchange) acknowledgedCompleteSince() time.Time {
	return e.receivedAt.Add(-milliseconds(e.status.AcknowledgedCompleteMS))
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// redirectWindow holds the two latest samples of a peer's counter of redirected heartbeats,
// which were taken at least tuning.PeerWindow apart.
type redirectWindow struct {
	earlier   uint64
	latest    uint64
	sampledAt time.Time
}

// observe takes a new sample if the latest one is at least tuning.PeerWindow old.
func (w *redirectWindow) observe(counter uint64, at time.Time) {
	if at.Sub(w.sampledAt) < tuning.PeerWindow {
		return
	}
	w.earlier, w.latest, w.sampledAt = w.latest, counter, at
}

// count returns the number of heartbeats redirected since the earlier sample. A counter
// below that sample is the counter of a restarted process, which began at 0.
func (w *redirectWindow) count(counter uint64) uint64 {
	if counter < w.earlier {
		return counter
	}
	return counter - w.earlier
}

// Run starts the periodic exchange of statuses with each peer and returns at once. The
// exchanges continue until the context ends.
func (g *Group) Run(ctx context.Context) {
	for _, link := range g.links {
		go g.exchangePeriodically(ctx, link)
	}
}

func (g *Group) exchangePeriodically(ctx context.Context, link *peerLink) {
	ticker := time.NewTicker(tuning.PeerExchangeInterval)
	defer ticker.Stop()
	for {
		g.exchangeStatus(ctx, link, false)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// exchangeStatus requests a peer's status and sends the peer the newest leader record of
// this controller. It returns false if the call fails or takes longer than tuning.PeerTimeout.
func (g *Group) exchangeStatus(ctx context.Context, link *peerLink, withSummary bool) (Status, bool) {
	ctx, cancel := context.WithTimeout(ctx, tuning.PeerTimeout)
	defer cancel()
	current := exchange{sentAt: time.Now()}
	request := &StatusRequest{
		Leader:                    g.local.Status(&StatusRequest{}).Leader,
		Summary:                   withSummary,
		AcknowledgedCancellations: g.local.IsLeader(),
	}
	err := link.conn.Invoke(ctx, methodPath(methodStatus), request, &current.status)
	if err != nil {
		g.log.Debug("status exchange with a peer failed, its last status is kept", "peer", link.name, "err", err)
		return Status{}, false
	}
	current.receivedAt = time.Now()
	g.local.ObserveTerm(current.status.Leader)
	g.mu.Lock()
	link.last = current
	link.redirected.observe(current.status.RedirectedHeartbeats, current.receivedAt)
	g.mu.Unlock()
	return current.status, true
}

// AcknowledgedCancellations returns the jobs whose cancellation the peers have acknowledged
// to users. The list contains every acknowledgment after since and up to asOf, which is
// zero if there are no peers. The result ok is false, and the others are zero, if the list
// of some peer does not reach back to since: the peer has restarted after since, has
// acknowledged more cancellations than it keeps, or has not replied yet.
func (g *Group) AcknowledgedCancellations(since time.Time) (asOf time.Time, jobIDs []protocol.JobID, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, link := range g.links {
		if !link.last.completed() || !link.last.acknowledgedCompleteSince().Before(since) {
			return time.Time{}, nil, false
		}
		jobIDs = append(jobIDs, link.last.status.AcknowledgedCancellations...)
		if asOf.IsZero() || link.last.sentAt.Before(asOf) {
			asOf = link.last.sentAt
		}
	}
	return asOf, jobIDs, true
}

// RedirectedHeartbeats returns how many heartbeats the reachable peers have redirected to
// other controllers within the last one to two periods of tuning.PeerWindow.
func (g *Group) RedirectedHeartbeats() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := uint64(0)
	for _, link := range g.links {
		if time.Since(link.last.receivedAt) <= tuning.PeerStatusMaxAge {
			total += link.redirected.count(link.last.status.RedirectedHeartbeats)
		}
	}
	return int(total)
}

// Summary requests the leader's status page data from the named controller. It returns nil
// if that controller is no peer, does not reply or does not lead.
func (g *Group) Summary(ctx context.Context, node string) []byte {
	for _, link := range g.links {
		if link.name == node {
			status, _ := g.exchangeStatus(ctx, link, true)
			return status.Summary
		}
	}
	return nil
}
