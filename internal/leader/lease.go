package leader

import (
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/tuning"
)

// leaderLease is the leader's right to start tasks and to answer heartbeats.
//
// An answer renews an agent's lease. A leader that was deposed without knowing must
// stop answering so early that the agents it kept alive lose their tasks within
// cancel_s of a cancellation that it cannot know. The right therefore counts from the
// last proof that nothing is unknown here: no newer term and no cancellation that a
// user was told of. The clock alone never extends it.
type leaderLease struct {
	// duration is how long after the last proof heartbeats may be answered.
	duration time.Duration
	// confirmedByWatch is the time before which every cancellation in the store is
	// known here, confirmedByTerm the time at which the term key was last read
	// unchanged, and confirmedByPeers the time before which every controller has
	// named the cancellations that it acknowledged (see confirmByPeers).
	confirmedByWatch time.Time
	confirmedByTerm  time.Time
	confirmedByPeers time.Time
	// answeringSince is since when heartbeats could be answered without a break.
	answeringSince time.Time
	// majorityReported is set once most machines were heard of in this term.
	majorityReported bool
}

func newLeaderLease(workers config.Workers) leaderLease {
	return leaderLease{duration: max(0, workers.CancellationLimit()-workers.LeaseDuration()-tuning.LeaderLeaseMargin)}
}

// lastConfirmation is the time up to which the key-value store itself has proved that
// nothing is unknown here.
func (l *leaderLease) lastConfirmation() time.Time {
	if l.confirmedByTerm.Before(l.confirmedByWatch) {
		return l.confirmedByTerm
	}
	return l.confirmedByWatch
}

// lastProof is the time up to which neither a cancellation acknowledged to a user nor
// a newer term can be unknown here, by the store or by the other controllers.
func (l *leaderLease) lastProof() time.Time {
	if at := l.lastConfirmation(); at.After(l.confirmedByPeers) {
		return at
	}
	return l.confirmedByPeers
}

// validUntil is when the right to answer heartbeats ends.
func (l *leaderLease) validUntil() time.Time { return l.lastProof().Add(l.duration) }

// mayAnswer tells whether heartbeats may be answered.
func (l *leaderLease) mayAnswer(now time.Time) bool { return !now.After(l.validUntil()) }

// mayStart tells whether tasks may be started. Only the store's own confirmation
// counts: a leader without the store starts nothing.
func (l *leaderLease) mayStart(now time.Time) bool {
	return now.Sub(l.lastConfirmation()) < tuning.StartConfirmationAge
}

// recordPeerProof notes a proof by the other controllers, unless there is a later one.
func (l *leaderLease) recordPeerProof(asOf time.Time) {
	if asOf.After(l.confirmedByPeers) {
		l.confirmedByPeers = asOf
	}
}
