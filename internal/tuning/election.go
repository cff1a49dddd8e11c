package tuning

import "time"

// Constants of the election and what a leader may do and for how long.
const (
	// LeadershipTTL is the life of the leader's grant: a dead leader is noticed
	// this late at most. Short enough for quick takeovers, long enough that a
	// process held up at a tenth of a core keeps it.
	LeadershipTTL = 1500 * time.Millisecond

	// KeepAliveInterval is the pause between renewals of the grant: three tries fit.
	KeepAliveInterval = 400 * time.Millisecond

	// KeepAlivesInFlight is how many renewals may be under way at once: with StateTimeout
	// for each, one goes out every KeepAliveInterval whatever became of those before.
	KeepAlivesInFlight = 4

	// ElectionRetry is the pause after a failed attempt to take the term.
	ElectionRetry = 250 * time.Millisecond

	// LeaderWatchHold is the hold of the followers' watch on the leader key.
	LeaderWatchHold = 1000 * time.Millisecond

	// TermShift separates the term (high) from a machine's bump (low).
	TermShift = 24

	// MissedHeartbeats is for how many report intervals a leader may hear less than
	// IsolationShare of the machines, if it knows at least IsolationMinMachines, before it
	// leaves its term to another node. Reports come every 0.75 to 1.25 intervals,
	// and what is left of a lease must be enough for workers to find the next
	// leader. In a cut zone the rest of the machines is heard.
	MissedHeartbeats     = 1.5
	IsolationShare       = 0.1
	IsolationMinMachines = 3

	// StepDownPause is how long such a node leaves the term to the others: some tries
	// of theirs.
	StepDownPause = 5 * time.Second

	// CommitFailureLimit is for how long every commit may be refused for its guards
	// before the leader gives up its term: the event of a cancellation, the usual
	// cause, comes within a follow call.
	CommitFailureLimit = 5 * time.Second
)
