package peer

import (
	"context"
	"time"

	"marblehaven/internal/tuning"
)

// StoreServedAfter reports whether the key-value store has served some peer after the given
// time and less than tuning.PeerStatusMaxAge ago.
func (g *Group) StoreServedAfter(after time.Time) bool {
	_, ok := g.linkServedAfter(after)
	return ok
}

// linkServedAfter returns the first link to a peer that the key-value store has served
// after the given time and less than tuning.PeerStatusMaxAge ago.
func (g *Group) linkServedAfter(after time.Time) (*peerLink, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, link := range g.links {
		servedAt := link.last.storeServedAt()
		if link.last.completed() && servedAt.After(after) && time.Since(servedAt) < tuning.PeerStatusMaxAge {
			return link, true
		}
	}
	return nil, false
}

// Forward sends a user's call to a peer that the key-value store serves. It returns false
// if there is no such peer or the call fails.
func (g *Group) Forward(ctx context.Context, call *UserCall) (*UserAnswer, bool) {
	link, ok := g.linkServedAfter(time.Time{})
	if !ok {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.ForwardTimeout)
	defer cancel()
	answer := new(UserAnswer)
	if err := link.conn.Invoke(ctx, methodPath(methodUserCall), call, answer); err != nil {
		return nil, false
	}
	return answer, true
}
