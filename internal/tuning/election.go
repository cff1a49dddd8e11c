package tuning

import "time"

// Constants of the election, and of a leader that gives up its term.
const (
	// LeadershipTTL is the time to live of the lease that the leader key is attached to. A
	// dead leader is noticed after at most this time. It is short enough for quick
	// failovers, and long enough that a process with a tenth of a core keeps its lease.
	LeadershipTTL = 1500 * time.Millisecond

	// KeepAliveInterval is the pause between keep-alives of that lease. Three of them fit
	// into LeadershipTTL, so one lost keep-alive does not end a term.
	KeepAliveInterval = 400 * time.Millisecond

	// KeepAlivesInFlight is how many keep-alives may be in flight at once. Each may take
	// StoreTimeout, so with four a keep-alive is sent every KeepAliveInterval whatever
	// becomes of the earlier ones.
	KeepAlivesInFlight = 4

	// ElectionRetry is the pause after a failed campaign, and after other failed calls to
	// the key-value store: short beside LeadershipTTL, and few requests.
	ElectionRetry = 250 * time.Millisecond

	// LeaderWatchHold is how long the store holds a watch on the leader key open. Its
	// return also shows whether the store serves this controller.
	LeaderWatchHold = 1000 * time.Millisecond

	// TermShift is the number of low bits of a fencing token that count the tokens issued
	// to one machine within a term. The bits above hold the term.
	TermShift = 24

	// MissedHeartbeats is for how many heartbeat intervals a machine may send nothing
	// before it counts as silent, and for how long a leader may receive next to nothing
	// before it gives up its term. Heartbeats come every 0.75 to 1.25 intervals, and
	// enough must be left of the agents' leases for agents to find the next leader.
	MissedHeartbeats = 1.5
	// IsolationShare is the share of the known machines below which a leader counts as
	// receiving next to nothing. When a zone is cut off, the machines on the leader's side
	// still reach it, and they are more than this.
	IsolationShare = 0.1
	// IsolationMinMachines is how many machines a leader must know to draw that
	// conclusion: one or two silent machines say nothing about the network.
	IsolationMinMachines = 3

	// StepDownPause is how long a controller that gave up its term waits for another one to
	// lead before it campaigns again: several times ElectionRetry.
	StepDownPause = 5 * time.Second

	// CommitFailureLimit is how long all commits may fail on their preconditions before the
	// leader gives up its term. The usual cause, a cancellation that the leader does not
	// know yet, is over within one watch call.
	CommitFailureLimit = 5 * time.Second
)
