package tuning

import "time"

// Constants of the calls between controllers.
const (
	// PeerExchangeInterval is the pause between exchanges of status with a peer. It equals
	// the interval of the leader's confirmations from the store.
	PeerExchangeInterval = 1 * time.Second

	// PeerWindow is the window in which heartbeats that peers have redirected are counted;
	// the count covers up to two windows. An agent that cannot reach the leader tries every
	// peer within this time.
	PeerWindow = 5 * time.Second

	// PeerRedial is the first pause before a lost connection to a peer is dialled again.
	PeerRedial = 200 * time.Millisecond

	// PeerTimeout ends a call to a peer. A peer answers from memory.
	PeerTimeout = 1 * time.Second

	// ForwardTimeout ends a user's call that was forwarded to a peer. A user waits 2 s for
	// a job's status.
	ForwardTimeout = 1500 * time.Millisecond

	// StoreServedAge is how long the store counts as reachable for a controller after it last
	// served that controller. The controller's watch on the leader key returns every second.
	StoreServedAge = 2500 * time.Millisecond

	// LocalStoreFailureLag is how much later than a controller its peers must have
	// been served by the store for the store to count as refusing that controller alone. At
	// the start of a store outage, the times at which the store last served the controllers
	// differ by less.
	LocalStoreFailureLag = 2500 * time.Millisecond

	// IsolatedAfter is how long neither the store nor a peer may have answered before a
	// controller considers itself isolated. The time covers several calls to either.
	IsolatedAfter = 5 * time.Second

	// PeerStatusMaxAge is how long a peer's last answer counts as current, and how long after
	// the store last served a peer the store counts as reachable for that peer: a second for
	// the watch, one for the exchange, and their delays.
	PeerStatusMaxAge = 3 * time.Second
)
