package peer

import (
	"context"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// exchange is the last successful exchange of statuses with a peer. The peer made its
// status at some moment between the two times.
type exchange struct {
	askedAt, answeredAt time.Time
	status              Status
}

// Run exchanges statuses with all peers until ctx ends.
func (g *Group) Run(ctx context.Context) {
	for _, link := range g.links {
		go func() {
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
		}()
	}
}

func (g *Group) exchangeStatus(ctx context.Context, link *peerLink, withSummary bool) (Status, bool) {
	ctx, cancel := context.WithTimeout(ctx, tuning.PeerTimeout)
	defer cancel()
	current := exchange{askedAt: time.Now()}
	request := &StatusRequest{Leader: g.local.Status(&StatusRequest{}).Leader, Summary: withSummary, Acknowledged: g.local.IsLeader()}
	err := link.conn.Invoke(ctx, "/"+serviceName+"/Status", request, &current.status)
	if err != nil {
		g.log.Debug("peer silent", "peer", link.name, "err", err)
		return Status{}, false
	}
	current.answeredAt = time.Now()
	g.local.ObserveTerm(current.status.Leader)
	g.mu.Lock()
	link.last = current
	if current.answeredAt.Sub(link.markedAt) >= tuning.PeerWindow {
		link.earlierCount, link.latestCount, link.markedAt = link.latestCount, current.status.Redirected, current.answeredAt
	}
	g.mu.Unlock()
	return current.status, true
}

// Acknowledged returns the jobs that the peers have told users are cancelled, and
// the latest time up to which none of those told after since is missing; it is
// zero without peers. A peer that restarted after since, or has told users of
// more jobs than it names, cannot say, nor can one that has not been asked.
func (g *Group) Acknowledged(since time.Time) (asOf time.Time, jobIDs []protocol.JobID, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, link := range g.links {
		// The peer reckoned CompleteMS before it answered, so this is too late
		// rather than too early.
		complete := link.last.answeredAt.Add(-time.Duration(link.last.status.CompleteMS) * time.Millisecond)
		if link.last.askedAt.IsZero() || !complete.Before(since) {
			return time.Time{}, nil, false
		}
		jobIDs = append(jobIDs, link.last.status.Acknowledged...)
		if asOf.IsZero() || link.last.askedAt.Before(asOf) {
			asOf = link.last.askedAt
		}
	}
	return asOf, jobIDs, true
}

// Redirected is how many workers' reports the peers that can be heard have sent on
// to other nodes lately.
func (g *Group) Redirected() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := uint64(0)
	for _, link := range g.links {
		switch counter := link.last.status.Redirected; {
		case time.Since(link.last.answeredAt) > tuning.PeerFresh:
		case counter < link.earlierCount: // a new process
			total += counter
		default:
			total += counter - link.earlierCount
		}
	}
	return int(total)
}

// Summary fetches the leader's summary.
func (g *Group) Summary(ctx context.Context, node string) []byte {
	for _, link := range g.links {
		if link.name == node {
			status, _ := g.exchangeStatus(ctx, link, true)
			return status.Summary
		}
	}
	return nil
}
