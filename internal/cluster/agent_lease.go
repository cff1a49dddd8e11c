package cluster

import (
	"time"

	"marblehaven/internal/protocol"
)

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
}

// isNewer reports whether a status is newer than the applied ones and belongs to an
// incarnation that has not provably ended.
func (l *AgentLease) isNewer(status *protocol.Heartbeat) bool {
	if status.Incarnation <= l.ExpiredIncarnation {
		return false
	}
	return status.Incarnation > l.Incarnation || (status.Incarnation == l.Incarnation && status.Sequence > l.Sequence)
}

// advanceTo records the incarnation and the sequence number of an applied status.
func (l *AgentLease) advanceTo(status *protocol.Heartbeat) {
	l.Incarnation, l.Sequence = status.Incarnation, status.Sequence
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
	l.Incarnation, l.Sequence, l.ExpiredIncarnation = 0, 0, 0
}

// ExpireLease returns every placement on the machine as ended once the agent's lease has
// provably expired, and marks their incarnations as expired. Before that time ExpireLease
// returns nil and changes nothing.
func (m *Machine) ExpireLease(now time.Time) (ended []EndedPlacement) {
	if !now.After(m.LeaseExpiry) {
		return nil
	}
	for _, placement := range m.Placements {
		ended = append(ended, EndedPlacement{Placement: placement})
		m.markExpired(placement.Incarnation)
	}
	m.markExpired(m.Incarnation)
	return ended
}
