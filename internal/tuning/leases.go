package tuning

import "time"

// Constants of the leader lease and of the agents' leases.
const (
	// WatchHold is how long the store holds a watch on the open jobs open. Its return is
	// also the confirmation that the leader knows every cancellation made before the call
	// began, so this is the interval of confirmations.
	WatchHold = 1000 * time.Millisecond

	// WatchGrace is added to WatchHold before a watch without an answer is given up, for
	// the same reason as StoreTimeout.
	WatchGrace = 1500 * time.Millisecond

	// RereadInterval is the pause between complete reads of the open jobs beside the watch.
	// An event that was lost delays a job by at most this, well within the 75 s after which
	// users take a job for forgotten.
	RereadInterval = 30 * time.Second

	// StartConfirmationAge is how old the last confirmation may be when a start is planned
	// or sent. The safety of starts rests on the commit before them; this limit avoids
	// work that would fail, and starts of jobs that were cancelled during an outage.
	StartConfirmationAge = 3 * time.Second

	// LeaderLeaseMargin is subtracted from cancel_s less lease_s for the length of the
	// leader lease. It covers clock drift, the way of a heartbeat and the time in which an
	// agent kills its tasks.
	LeaderLeaseMargin = 2 * time.Second

	// LeaderLeaseMin is the shortest leader lease with which the settings are accepted.
	// Confirmations come once a second, from a call that lasts a second, and one of them
	// may be lost.
	LeaderLeaseMin = 4 * time.Second

	// AgentLeaseMargin is added to the length of an agent's lease before its tasks count as
	// gone. It covers the way of a heartbeat and the steps of the agent's timer. A reply that
	// takes more than 4 s need not be covered: the agent drops it.
	AgentLeaseMargin = 1 * time.Second

	// ClockDrift is the largest relative difference between the speeds of two monotonic
	// clocks that is allowed for: twice the difference that is promised.
	ClockDrift = 0.001
)
