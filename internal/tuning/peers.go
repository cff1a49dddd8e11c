package tuning

import "time"

// Constants of what controllers exchange.
const (
	// PeerExchangeInterval is the pause between status exchanges with peers.
	PeerExchangeInterval = 1 * time.Second

	// PeerWindow is the window in which peers' reports sent on are counted; up to
	// twice as long. A worker that cannot reach the leader asks them all in it.
	PeerWindow = 5 * time.Second

	// PeerRedial is the first pause before a lost peer is dialled again.
	PeerRedial = 200 * time.Millisecond

	// PeerTimeout ends a call to a peer.
	PeerTimeout = 1 * time.Second

	// ForwardTimeout ends a user's call passed to a peer; a poll has 2 s in all.
	ForwardTimeout = 1500 * time.Millisecond

	// StoreServedAge is how long ago the state service may have served a node that
	// counts as served; its follow of the leader key returns every second.
	StoreServedAge = 2500 * time.Millisecond

	// RefusedAloneLag is how much later peers must have been served for a node to
	// count as refused alone: more than nodes differ at the start of an outage.
	RefusedAloneLag = 2500 * time.Millisecond

	// IsolatedAfter is how long neither the state service nor a peer may be heard
	// before a node takes itself for cut off: some exchanges of both.
	IsolatedAfter = 5 * time.Second

	// PeerFresh is how old a peer's being served may be to count as present:
	// the follow's second, the exchange's second and their delays.
	PeerFresh = 3 * time.Second
)
