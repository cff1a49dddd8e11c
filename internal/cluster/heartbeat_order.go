package cluster

import "marblehaven/internal/protocol"

// heartbeatOrder distinguishes the newest heartbeat of an agent from late copies of
// earlier ones, and both from the heartbeats of an agent that has restarted and counts
// from the beginning again.
//
// An agent sends its heartbeats one after another, so a heartbeat that is not newer than
// the last accepted one is either a late copy or sent after a restart; there is no third
// case. Statuses in the answers to direct commands are not heartbeats and are not ordered
// here.
type heartbeatOrder struct {
	lastAccepted heartbeatID           // of the newest accepted heartbeat
	lastToken    protocol.FencingToken // in the newest accepted heartbeat
	// probeToken is a token that no earlier message to the agent carried. The leader
	// sends it in the reply to a heartbeat that is not newer than the accepted ones. 0
	// means that no probe is outstanding.
	probeToken protocol.FencingToken
	// restarted is true from the proof that the agent has restarted until the first
	// status after the restart is applied.
	restarted bool
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
	id := heartbeatIDOf(heartbeat)
	if !o.lastAccepted.before(id) || heartbeat.Token < o.lastToken {
		return false
	}
	o.lastAccepted, o.lastToken = id, heartbeat.Token
	o.withdrawProbe(heartbeat.Token)
	return true
}

// withdrawProbe discards the probe when a status in the known order carries its token.
// The token then no longer proves a restart: an agent that has not restarted has received
// it, so late copies of that agent's heartbeats carry it too.
func (o *heartbeatOrder) withdrawProbe(token protocol.FencingToken) {
	if token >= o.probeToken {
		o.probeToken = 0
	}
}

// recordRestart makes the heartbeat of a restarted agent the first of a new order.
func (o *heartbeatOrder) recordRestart(heartbeat *protocol.Heartbeat) {
	o.lastAccepted, o.lastToken = heartbeatIDOf(heartbeat), heartbeat.Token
	o.probeToken = 0
	o.restarted = true
}

// AcceptHeartbeat reports whether a heartbeat is newer than all accepted ones. A
// heartbeat that is not newer must not be applied, must not renew the lease and does not
// count as contact; the caller passes it to DetectRestart.
func (m *Machine) AcceptHeartbeat(heartbeat *protocol.Heartbeat) bool {
	if !m.heartbeatOrder.accept(heartbeat) {
		return false
	}
	m.observeHeartbeat(heartbeat.Token)
	return true
}

// DetectRestart takes a heartbeat that AcceptHeartbeat has refused, and reports whether
// it proves that the agent has restarted. The first such heartbeat proves nothing, but
// the reply to it carries a probe token. A late copy was sent before the probe token was
// issued. Only a running agent that counts from the beginning again can send the probe
// token in a heartbeat that is not newer than the accepted ones.
//
// A proved restart resets the incarnation and the sequence number, and the next applied
// status ends the placements from before the restart.
func (m *Machine) DetectRestart(heartbeat *protocol.Heartbeat) bool {
	if m.probeToken == 0 {
		m.probeToken = m.issueNextToken()
		return false
	}
	if heartbeat.Token < m.probeToken {
		return false
	}
	m.recordRestart(heartbeat)
	m.resetIncarnations()
	return true
}
