package tuning

import "time"

// Constants of the leader lease and of the agents' leases.
const (
	// WatchHold is how long the store keeps a watch on the open jobs open. The return of the
	// watch also confirms that the leader has received every cancellation made before the
	// call began, so this is the interval of confirmations.
	WatchHold = 1000 * time.Millisecond

	// WatchGrace is added to WatchHold for the timeout of a watch. Like StoreTimeout, it is
	// well beyond the store's slow answers.
	WatchGrace = 1500 * time.Millisecond

	// RereadInterval is the pause between complete reads of the open jobs in addition to the
	// watch. A lost event delays a job by at most this time, well within the 75 s after which
	// users consider a job lost.
	RereadInterval = 30 * time.Second

	// StartConfirmationAge is the largest age of the last confirmation with which a start is
	// planned or sent. The safety of starts rests on the commit before them. This limit
	// avoids work that would fail, and starts of jobs that were cancelled during an outage.
	StartConfirmationAge = 3 * time.Second

	// LeaderLeaseMargin is subtracted from cancel_s minus lease_s to get the length of the
	// leader lease. It covers clock drift, the transmission of a heartbeat and the time in
	// which an agent kills its tasks.
	LeaderLeaseMargin = 2 * time.Second

	// LeaderLeaseMin is the shortest leader lease with which the settings are accepted. A
	// confirmation arrives once a second, from a call that lasts a second, and one of them
	// may be lost.
	LeaderLeaseMin = 4 * time.Second

	// AgentLeaseMargin is added to the length of an agent's lease before its tasks count as
	// ended. It covers the transmission of a heartbeat and the resolution of the agent's
	// timer. A reply that takes more than 4 s need not be covered, because the agent drops
	// it.
	AgentLeaseMargin = 1 * time.Second

	// ClockDrift is the largest relative difference between the speeds of two monotonic
	// clocks that the leases allow for: twice the difference that the clocks are guaranteed
	// to stay within.
	ClockDrift = 0.001
)
