package tuning

import "time"

// Constants of the leader lease and the leases of agents.
const (
	// WatchHold is how long a follow call is held open. Its return is also the
	// proof that the leader has seen all cancellations up to its start.
	WatchHold = 1000 * time.Millisecond

	// WatchGrace is added to WatchHold before a silent follow is given up.
	WatchGrace = 1500 * time.Millisecond

	// RereadInterval is the pause between complete readings of the open jobs beside
	// the follow, well within the 75 s after which a job counts as forgotten.
	RereadInterval = 30 * time.Second

	// StartConfirmationAge is how old the last proof of authority may be when a start
	// is planned. Starts are fenced by the commit before them; this only avoids
	// work that must fail.
	StartConfirmationAge = 3 * time.Second

	// LeaderLeaseMargin is kept between the end of a leader's right to answer
	// reports plus a lease, and cancel_s: drift, report delay and kill time.
	LeaderLeaseMargin = 2 * time.Second

	// LeaderLeaseMin is the shortest time after its last proof for which a leader must
	// be able to answer reports, to serve at all: its proofs come once a second, each from
	// a call that is held for a second, and one may be lost.
	LeaderLeaseMin = 4 * time.Second

	// AgentLeaseMargin is added to a lease before its tasks count as gone: report
	// transit, timer steps and the 4 s after which workers drop an answer.
	AgentLeaseMargin = 1 * time.Second

	// ClockDrift is the largest difference between two steady clocks' speeds.
	ClockDrift = 0.001
)
