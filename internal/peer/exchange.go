package peer

import (
	"context"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// statusAnswer is what a peer last answered. Its status was made between the two times.
type statusAnswer struct {
	asked, answered time.Time
	status          Status
}

// Run exchanges statuses with all peers until ctx ends.
func (g *Group) Run(ctx context.Context) {
	for _, link := range g.links {
		go func() {
			t := time.NewTicker(tuning.PeerExchangeInterval)
			defer t.Stop()
			for {
				g.exchangeStatus(ctx, link, false)
				select {
				case <-ctx.Done():
					return
				case <-t.C:
				}
			}
		}()
	}
}

func (g *Group) exchangeStatus(ctx context.Context, link *peerLink, summary bool) (Status, bool) {
	ctx, cancel := context.WithTimeout(ctx, tuning.PeerTimeout)
	defer cancel()
	a := statusAnswer{asked: time.Now()}
	req := &StatusRequest{Leader: g.local.Status(&StatusRequest{}).Leader, Summary: summary, Acknowledged: g.local.IsLeader()}
	err := link.conn.Invoke(ctx, "/"+service+"/Status", req, &a.status)
	if err != nil {
		g.log.Debug("peer silent", "peer", link.name, "err", err)
		return Status{}, false
	}
	a.answered = time.Now()
	g.local.ObserveTerm(a.status.Leader)
	g.mu.Lock()
	link.last = a
	if a.answered.Sub(link.markAt) >= tuning.PeerWindow {
		link.before, link.redirected, link.markAt = link.redirected, a.status.Redirected, a.answered
	}
	g.mu.Unlock()
	return a.status, true
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
		complete := link.last.answered.Add(-time.Duration(link.last.status.CompleteMS) * time.Millisecond)
		if link.last.asked.IsZero() || !complete.Before(since) {
			return time.Time{}, nil, false
		}
		jobIDs = append(jobIDs, link.last.status.Acknowledged...)
		if asOf.IsZero() || link.last.asked.Before(asOf) {
			asOf = link.last.asked
		}
	}
	return asOf, jobIDs, true
}

// Redirected is how many workers' reports the peers that can be heard have sent on
// to other nodes lately.
func (g *Group) Redirected() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := uint64(0)
	for _, link := range g.links {
		switch t := link.last.status.Redirected; {
		case time.Since(link.last.answered) > tuning.PeerFresh:
		case t < link.before: // a new process
			n += t
		default:
			n += t - link.before
		}
	}
	return int(n)
}

// Summary fetches the leader's summary.
func (g *Group) Summary(ctx context.Context, node string) []byte {
	for _, link := range g.links {
		if link.name == node {
			s, _ := g.exchangeStatus(ctx, link, true)
			return s.Summary
		}
	}
	return nil
}
