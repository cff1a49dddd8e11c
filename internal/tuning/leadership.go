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

	// WatchHold is how long a follow call is held open. Its return is also the
	// proof that the leader has seen all cancellations up to its start.
	WatchHold = 1000 * time.Millisecond

	// WatchGrace is added to WatchHold before a silent follow is given up.
	WatchGrace = 1500 * time.Millisecond

	// RereadInterval is the pause between complete readings of the open jobs beside
	// the follow, well within the 75 s after which a job counts as forgotten.
	RereadInterval = 30 * time.Second

	// LeaderWatchHold is the hold of the followers' watch on the leader key.
	LeaderWatchHold = 1000 * time.Millisecond

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

	// DependencyLookupInterval is the pause between two readings of the final records of
	// dependencies that are not open, and DependencyLookupBatch how many are read in a
	// turn: a small part of the requests of a second.
	DependencyLookupInterval = time.Second
	DependencyLookupBatch    = 20

	// OutcomeCache is how many final phases a leader remembers for jobs that wait
	// for others (about 60 bytes each).
	OutcomeCache = 20000

	// VersionCheckInterval is the pause between checks of the controllers' versions while
	// an upgrade is under way.
	VersionCheckInterval = 2 * time.Second
)
