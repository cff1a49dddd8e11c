package cluster

import "marblehaven/internal/protocol"

// heartbeatOrder distinguishes the newest heartbeat of an agent from late copies of
// earlier ones.
//
// An agent sends its heartbeats one after another, so a heartbeat that is not newer than
// the last accepted one is either a late copy or sent after a restart; there is no third
// case. Statuses in the answers to direct commands are not heartbeats and are not ordered
// here.
type heartbeatOrder struct {
	lastAccepted heartbeatID           // of the newest accepted heartbeat
	lastToken    protocol.FencingToken // in the newest accepted heartbeat
}

// heartbeatID orders the heartbeats that an agent sends between two restarts.
type heartbeatID struct {
	incarnation protocol.Incarnation
	sequence    uint64
}

func heartbeatIDOf(heartbeat *protocol.Heartbeat) heartbeatID {
	return heartbeatID{heartbeat.Incarnation, heartbeat.Sequence}
}

func (id heartbeatID) before(other heartbeatID) bool {
	return id.incarnation < other.incarnation || (id.incarnation == other.incarnation && id.sequence < other.sequence)
}

// accept reports whether the heartbeat is newer than all accepted ones, and if so records
// it. An agent that has not restarted never sends a lower token than before, so a heartbeat
// with a lower token is from before or after a restart, however high its number is.
func (o *heartbeatOrder) accept(heartbeat *protocol.Heartbeat) bool {
	if !o.lastAccepted.before(heartbeatIDOf(heartbeat)) || heartbeat.Token < o.lastToken {
		return false
	}
	o.beginWith(heartbeat)
	return true
}

// beginWith makes a heartbeat the newest one, whatever was accepted before.
func (o *heartbeatOrder) beginWith(heartbeat *protocol.Heartbeat) {
	o.lastAccepted, o.lastToken = heartbeatIDOf(heartbeat), heartbeat.Token
}

// AcceptHeartbeat reports whether a heartbeat is newer than all accepted ones. A
// heartbeat that is not newer must not be applied, must not renew the lease and does not
// count as contact, unless DetectRestart shows that the agent has restarted.
func (m *Machine) AcceptHeartbeat(heartbeat *protocol.Heartbeat) bool {
	// A heartbeat that was overtaken by the answer to a command has a lower number than the
	// answer. One with a higher number and a lower token is from before or after a restart.
	fromOtherRun := m.AgentLease.isNewer(heartbeat) && heartbeat.Token < m.AcknowledgedToken
	if fromOtherRun || !m.heartbeatOrder.accept(heartbeat) {
		return false
	}
	m.observeHeartbeat(heartbeat.Token)
	return true
}
