package tuning

import "time"

// Constants of the election, and of a leader that gives up its term.
const (
	// LeadershipTTL is the time to live of the lease that the leader key is attached to. The
	// failure of a leader is detected within this time. It is short enough for quick
	// failovers, and long enough that a process with a tenth of a core keeps its lease.
	LeadershipTTL = 1500 * time.Millisecond

	// KeepAliveInterval is the pause between keep-alives of that lease. Three of them fit
	// into LeadershipTTL, so one lost keep-alive does not end a term.
	KeepAliveInterval = 400 * time.Millisecond

	// KeepAlivesInFlight is the largest number of keep-alives in flight at once. Each may
	// take StoreTimeout, so with four a keep-alive is sent every KeepAliveInterval even if
	// the earlier ones hang.
	KeepAlivesInFlight = 4

	// StoreRetryPause is the pause after a failed campaign, and after other failed calls to
	// the key-value store. It is short compared with LeadershipTTL and causes few requests.
	StoreRetryPause = 250 * time.Millisecond

	// LeaderWatchHold is how long the store keeps a watch on the leader key open. When the
	// watch returns, the controller also sees that the store serves it.
	LeaderWatchHold = 1000 * time.Millisecond

	// TermShift is the number of low bits of a fencing token that count the tokens issued
	// to one machine within a term. The bits above hold the term.
	TermShift = 24

	// MissedHeartbeats is the number of heartbeat intervals without a message after which a
	// machine counts as silent, and after which a leader that receives almost no heartbeats
	// gives up its term. Heartbeats arrive every 0.75 to 1.25 intervals, and enough must be
	// left of the agents' leases for the agents to find the next leader.
	MissedHeartbeats = 1.5
	// IsolationShare is the share of the known machines below which a leader counts as
	// receiving almost no heartbeats. When a zone is partitioned from the others, the
	// machines on the leader's side still reach the leader, and their share is larger than
	// this.
	IsolationShare = 0.1
	// IsolationMinMachines is the number of machines that a leader must know to conclude that
	// it is isolated: one or two silent machines do not show a network failure.
	IsolationMinMachines = 3

	// StepDownPause is how long a controller that gave up its term waits for another one to
	// lead before it campaigns again. It is several times StoreRetryPause.
	StepDownPause = 5 * time.Second

	// CommitFailureLimit is how long all commits may fail on their preconditions before the
	// leader gives up its term. The usual cause is a cancellation that the leader has not
	// received yet, and which arrives within one watch call.
	CommitFailureLimit = 5 * time.Second
)
