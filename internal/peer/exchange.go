package peer

import (
	"context"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// exchange is a successful exchange of statuses with a peer. The peer made its status
// at some moment between the two times. Both are zero before the first exchange.
type exchange struct {
	sentAt     time.Time
	receivedAt time.Time
	status     Status
}

// completed tells whether there was an exchange at all.
func (e *exchange) completed() bool { return !e.sentAt.IsZero() }

// storeServedAt is when the key-value store last served the peer.
func (e *exchange) storeServedAt() time.Time {
	return e.receivedAt.Add(-milliseconds(e.status.SinceStoreServedMS))
}

// acknowledgedCompleteSince is the moment since which the peer's list of acknowledged
// cancellations is complete. The peer measured AcknowledgedCompleteMS before it answered, so the
// result is too late rather than too early.
func (e *exchange) acknowledgedCompleteSince() time.Time {
	return e.receivedAt.Add(-milliseconds(e.status.AcknowledgedCompleteMS))
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// redirectWindow holds a peer's counter of redirected heartbeats at the two latest
// marks, which lie at least tuning.PeerWindow apart.
type redirectWindow struct {
	earlier   uint64
	latest    uint64
	sampledAt time.Time
}

// observe sets a new mark if the latest one is old enough.
func (w *redirectWindow) observe(counter uint64, at time.Time) {
	if at.Sub(w.sampledAt) < tuning.PeerWindow {
		return
	}
	w.earlier, w.latest, w.sampledAt = w.latest, counter, at
}

// count returns the heartbeats redirected since the earlier mark. A counter below the
// mark is that of a restarted process.
func (w *redirectWindow) count(counter uint64) uint64 {
	if counter < w.earlier {
		return counter
	}
	return counter - w.earlier
}

// Run exchanges statuses with all peers until the context ends.
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

// exchangeStatus asks a peer for its status and names the leader known here.
func (g *Group) exchangeStatus(ctx context.Context, link *peerLink, withSummary bool) (Status, bool) {
	ctx, cancel := context.WithTimeout(ctx, tuning.PeerTimeout)
	defer cancel()
	current := exchange{sentAt: time.Now()}
	request := &StatusRequest{
		Leader:       g.local.Status(&StatusRequest{}).Leader,
		Summary:      withSummary,
		Acknowledged: g.local.IsLeader(),
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
	link.redirected.observe(current.status.Redirected, current.receivedAt)
	g.mu.Unlock()
	return current.status, true
}

// AcknowledgedCancellations returns the jobs whose cancellation the peers have acknowledged to
// users, and the time up to which the list is complete for acknowledgments after
// since. The time is zero without peers. The result is not ok if some peer cannot
// vouch for that: it has restarted after since, has acknowledged more cancellations
// than it keeps, or has not been asked yet.
func (g *Group) AcknowledgedCancellations(since time.Time) (asOf time.Time, jobIDs []protocol.JobID, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, link := range g.links {
		if !link.last.completed() || !link.last.acknowledgedCompleteSince().Before(since) {
			return time.Time{}, nil, false
		}
		jobIDs = append(jobIDs, link.last.status.Acknowledged...)
		if asOf.IsZero() || link.last.sentAt.Before(asOf) {
			asOf = link.last.sentAt
		}
	}
	return asOf, jobIDs, true
}

// Redirected is how many heartbeats the peers that answer have redirected to other
// controllers within the last one or two of tuning.PeerWindow.
func (g *Group) Redirected() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := uint64(0)
	for _, link := range g.links {
		if time.Since(link.last.receivedAt) <= tuning.PeerStatusMaxAge {
			total += link.redirected.count(link.last.status.Redirected)
		}
	}
	return int(total)
}

// Summary fetches the leader's status page data from the named controller; nil if
// that controller is no peer or does not answer.
func (g *Group) Summary(ctx context.Context, node string) []byte {
	for _, link := range g.links {
		if link.name == node {
			status, _ := g.exchangeStatus(ctx, link, true)
			return status.Summary
		}
	}
	return nil
}
