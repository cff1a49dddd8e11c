package cluster

import (
	"time"

	"marblehaven/internal/protocol"
)

// AgentLease follows the incarnations of an agent. An agent lives in one incarnation
// as long as its lease is renewed by replies to its heartbeats. When the lease expires
// the agent ends all its tasks and begins the next incarnation.
//
// LeaseExpiry is the latest time at which the agent can still hold its lease, clock
// drift included, as counted by the leader. Only after that time is silence a proof.
type AgentLease struct {
	// Incarnation and Sequence are those of the newest applied status; an
	// incarnation of 0 means that no status was applied yet.
	Incarnation protocol.Incarnation
	Sequence    uint64
	// LeaseExpiry is when everything that runs in the incarnation is gone, unless
	// the lease is renewed before. The leader sets it when it replies to a
	// heartbeat.
	LeaseExpiry time.Time
	// ExpiredIncarnation is the highest incarnation that has surely ended. A status
	// of such an incarnation is out of date and is not applied.
	ExpiredIncarnation protocol.Incarnation
}

// isNewer tells whether a status is newer than the applied ones and of an incarnation
// that may last.
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

// incarnationMayLast tells whether the newest known incarnation is not known to be over.
func (l *AgentLease) incarnationMayLast() bool {
	return l.Incarnation > l.ExpiredIncarnation
}

// markExpired records that an incarnation has surely ended.
func (l *AgentLease) markExpired(incarnation protocol.Incarnation) {
	l.ExpiredIncarnation = max(l.ExpiredIncarnation, incarnation)
}

// forgetIncarnations lets an agent that has restarted count its incarnations anew.
func (l *AgentLease) forgetIncarnations() {
	l.Incarnation, l.Sequence, l.ExpiredIncarnation = 0, 0, 0
}

// ExpireLease ends every placement on the machine once the agent's lease has surely
// expired, and returns the placements. Before that time it does nothing.
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
