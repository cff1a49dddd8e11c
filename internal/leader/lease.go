package leader

import (
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/tuning"
)

// leaderLease is the leader's right to start tasks and to answer heartbeats.
//
// An answer renews an agent's lease. A leader that was deposed and has not received the
// newer term must stop answering early enough that the agents whose leases it renewed
// stop their tasks within cancel_s of a cancellation that this leader cannot see. The
// right therefore counts from the last proof that this leader has missed nothing: no
// newer term and no cancellation that was acknowledged to a user. The clock alone never
// extends it.
type leaderLease struct {
	// duration is how long after the last proof the leader may answer heartbeats.
	duration time.Duration
	// confirmedByWatch is the time before which every cancellation in the store has been
	// received. confirmedByTerm is when the last read began that found the term key
	// unchanged. confirmedByPeers is the time before which every controller has reported
	// the cancellations that it acknowledged (see confirmByPeers).
	confirmedByWatch time.Time
	confirmedByTerm  time.Time
	confirmedByPeers time.Time
	// confirmedSince is the start of the current period in which the last confirmation
	// was never older than tuning.StartConfirmationAge. At first it is
	// tuning.AgentFailoverDelay after the takeover, when agents have found this leader.
	confirmedSince time.Time
	// majorityReported is set once heartbeats of more than half of the machines have been
	// received in this term.
	majorityReported bool
}

func newLeaderLease(workers config.Workers) leaderLease {
	return leaderLease{duration: max(0, workers.CancellationLimit()-workers.LeaseDuration()-tuning.LeaderLeaseMargin)}
}

// lastConfirmation returns the time up to which the key-value store itself has proved
// that this leader has missed neither a cancellation nor a newer term.
func (l *leaderLease) lastConfirmation() time.Time {
	if l.confirmedByTerm.Before(l.confirmedByWatch) {
		return l.confirmedByTerm
	}
	return l.confirmedByWatch
}

// lastProof returns the time up to which the store or the other controllers have proved
// that this leader has missed neither a cancellation acknowledged to a user nor a newer
// term.
func (l *leaderLease) lastProof() time.Time {
	if at := l.lastConfirmation(); at.After(l.confirmedByPeers) {
		return at
	}
	return l.confirmedByPeers
}

// validUntil returns when the right to answer heartbeats ends.
func (l *leaderLease) validUntil() time.Time { return l.lastProof().Add(l.duration) }

// mayAnswer reports whether the leader may answer heartbeats.
func (l *leaderLease) mayAnswer(now time.Time) bool { return !now.After(l.validUntil()) }

// mayStart reports whether the leader may start tasks. Only a recent confirmation by the
// store counts: a leader that cannot reach the store starts nothing.
func (l *leaderLease) mayStart(now time.Time) bool {
	return now.Sub(l.lastConfirmation()) < tuning.StartConfirmationAge
}

// recordPeerProof records a proof by the other controllers. A proof older than the last
// one is ignored.
func (l *leaderLease) recordPeerProof(asOf time.Time) {
	if asOf.After(l.confirmedByPeers) {
		l.confirmedByPeers = asOf
	}
}
