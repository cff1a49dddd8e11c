package cluster

import (
	"time"

	"marblehaven/internal/protocol"
)

// firstIncarnation is the incarnation of an agent that has started or restarted.
const firstIncarnation protocol.Incarnation = 1

// AgentLease tracks the incarnations of an agent. An incarnation lasts as long as replies
// to heartbeats renew the agent's lease. When the lease expires, the agent ends all its
// tasks and starts the next incarnation.
//
// LeaseExpiry is the latest time, as counted by the leader and with clock drift included,
// at which the agent can still hold its lease. Only after that time do missing heartbeats
// prove that the agent's tasks have ended.
type AgentLease struct {
	// Incarnation and Sequence are those of the newest applied status. An incarnation of
	// 0 means that no status has been applied yet.
	Incarnation protocol.Incarnation
	Sequence    uint64
	// LeaseExpiry is the time by which all tasks of the incarnation have ended, unless
	// the lease is renewed before. The leader sets it when it replies to a heartbeat.
	LeaseExpiry time.Time
	// ExpiredIncarnation is the highest incarnation that has provably ended. A status of
	// that incarnation or of an earlier one is out of date and is not applied.
	ExpiredIncarnation protocol.Incarnation
	// inheritedIncarnation is the highest incarnation of the placements that earlier
	// leaders have recorded. A status of a lower one is not applied.
	inheritedIncarnation protocol.Incarnation
	// answeredIncarnation is the one that the newest answer to a direct command named, if
	// the status in that answer was not applied and none has been since; otherwise 0.
	answeredIncarnation protocol.Incarnation
}

// isNewer reports whether a status is newer than the applied ones and those that earlier
// leaders have applied, and belongs to an incarnation that has not provably ended.
func (l *AgentLease) isNewer(status *protocol.Heartbeat) bool {
	if status.Incarnation <= l.ExpiredIncarnation || status.Incarnation < l.inheritedIncarnation {
		return false
	}
	return status.Incarnation > l.Incarnation || (status.Incarnation == l.Incarnation && status.Sequence > l.Sequence)
}

// advanceTo records the incarnation and the sequence number of an applied status.
func (l *AgentLease) advanceTo(status *protocol.Heartbeat) {
	l.Incarnation, l.Sequence = status.Incarnation, status.Sequence
	l.answeredIncarnation = 0
}

// extendLease moves the expiry to a later time; an earlier one changes nothing.
func (l *AgentLease) extendLease(leaseEnd time.Time) {
	if leaseEnd.After(l.LeaseExpiry) {
		l.LeaseExpiry = leaseEnd
	}
}

// hasUnexpiredIncarnation reports whether the newest known incarnation has not provably
// ended.
func (l *AgentLease) hasUnexpiredIncarnation() bool {
	return l.Incarnation > l.ExpiredIncarnation
}

// markExpired records that an incarnation has provably ended.
func (l *AgentLease) markExpired(incarnation protocol.Incarnation) {
	l.ExpiredIncarnation = max(l.ExpiredIncarnation, incarnation)
}

// resetIncarnations resets the incarnations and the sequence number for an agent that
// has restarted and counts from the beginning again.
func (l *AgentLease) resetIncarnations() {
	l.Incarnation, l.Sequence, l.ExpiredIncarnation, l.inheritedIncarnation = 0, 0, 0, 0
}

// RecordAnsweredIncarnation records the incarnation that the answer to a direct command
// names, once the status in the answer was offered to ApplyStatus.
func (l *AgentLease) RecordAnsweredIncarnation(incarnation protocol.Incarnation) {
	if incarnation != l.Incarnation {
		l.answeredIncarnation = incarnation
	}
}

// CommandIncarnation returns the incarnation to which a command without starts is addressed.
// An agent that names a lower incarnation than the known ones has possibly restarted. It
// takes the token of a command, and so proves the restart, only in the incarnation that it
// names.
func (l *AgentLease) CommandIncarnation() protocol.Incarnation {
	if l.answeredIncarnation > 0 {
		return l.answeredIncarnation
	}
	return l.LatestIncarnation()
}

// LatestIncarnation returns the highest incarnation that is known of the agent, from its
// statuses or from the placements that earlier leaders have recorded.
func (l *AgentLease) LatestIncarnation() protocol.Incarnation {
	return max(l.Incarnation, l.inheritedIncarnation, firstIncarnation)
}

// keepLeaseExpiry keeps the end of the lease for the placements of other incarnations than
// that of the newest status. Replies to heartbeats of that incarnation do not renew it.
func (m *Machine) keepLeaseExpiry() {
	for _, placement := range m.Placements {
		if placement.Incarnation != m.Incarnation && placement.leaseExpiry.IsZero() {
			placement.leaseExpiry = m.LeaseExpiry
		}
	}
}

// RecordUnappliedReply records that a reply was sent to a heartbeat that was not applied,
// and that it may renew the agent's lease until leaseEnd. A late copy that was applied
// before can hide that the heartbeat is the newest, until the agent has acknowledged a token
// of this term.
func (m *Machine) RecordUnappliedReply(incarnation protocol.Incarnation, leaseEnd time.Time) {
	if m.AcknowledgedToken >= m.firstTokenOfTerm() {
		return
	}
	m.extendLease(leaseEnd)
	for _, placement := range m.Placements {
		if placement.Incarnation == incarnation && !placement.leaseExpiry.IsZero() && leaseEnd.After(placement.leaseExpiry) {
			placement.leaseExpiry = leaseEnd
		}
	}
}

// ExpireLease returns the placements as ended whose agent's lease has provably expired, and
// marks the incarnations as expired. Before that time ExpireLease returns nil and changes
// nothing.
func (m *Machine) ExpireLease(now time.Time) (ended []EndedPlacement) {
	if !now.After(m.LeaseExpiry) {
		return m.expireOtherIncarnations(now)
	}
	for _, placement := range m.Placements {
		ended = append(ended, EndedPlacement{Placement: placement})
		m.markExpired(placement.Incarnation)
	}
	m.markExpired(m.Incarnation)
	// A heartbeat of the expired incarnation that carries the probe token may still arrive.
	m.probeToken = 0
	return ended
}

// expireOtherIncarnations returns the placements as ended whose incarnation is not that of
// the newest status and whose lease has provably expired.
func (m *Machine) expireOtherIncarnations(now time.Time) (ended []EndedPlacement) {
	for _, placement := range m.Placements {
		if placement.Incarnation != m.Incarnation && !placement.leaseExpiry.IsZero() && now.After(placement.leaseExpiry) {
			ended = append(ended, EndedPlacement{Placement: placement})
		}
	}
	return ended
}
