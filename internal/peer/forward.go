package peer

import (
	"context"
	"time"

	"marblehaven/internal/tuning"
)

// StoreServedAfter tells whether the state service has served some peer after the
// given time, and lately.
func (g *Group) StoreServedAfter(t time.Time) bool {
	_, ok := g.servedAfter(t)
	return ok
}

func (g *Group) servedAfter(t time.Time) (*peerLink, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, link := range g.links {
		at := link.last.answered.Add(-time.Duration(link.last.status.StateMS) * time.Millisecond)
		if !link.last.asked.IsZero() && at.After(t) && time.Since(at) < tuning.PeerFresh {
			return link, true
		}
	}
	return nil, false
}

// Forward passes a user's call to a peer that the state service serves.
func (g *Group) Forward(ctx context.Context, c *UserCall) (*UserAnswer, bool) {
	link, ok := g.servedAfter(time.Time{})
	if !ok {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.ForwardTimeout)
	defer cancel()
	a := new(UserAnswer)
	if err := link.conn.Invoke(ctx, "/"+service+"/UserCall", c, a); err != nil {
		return nil, false
	}
	return a, true
}
