package cluster

import "marblehaven/internal/protocol"

// heartbeatOrder tells the newest heartbeat of an agent from late copies of earlier
// ones, and both from the heartbeats of an agent that has restarted and counts from
// the beginning again.
//
// An agent sends its heartbeats one after another, so a heartbeat that is not newer
// than the last accepted one has no third explanation. Statuses in the answers to
// direct commands are not heartbeats and are not ordered here.
type heartbeatOrder struct {
	lastAccepted heartbeatID // the newest accepted heartbeat
	// probeToken is a token that no earlier message to the agent carried. It goes
	// out in the reply to a heartbeat that looks old; 0 means that none is out.
	probeToken protocol.FencingToken
	// restarted tells that the agent has proved a restart and that the next status
	// to be applied is the first one since.
	restarted bool
}

// heartbeatID orders the heartbeats of one life of an agent.
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

// accept tells whether the heartbeat is newer than all before, and if so records it.
func (o *heartbeatOrder) accept(heartbeat *protocol.Heartbeat) bool {
	id := heartbeatIDOf(heartbeat)
	if !o.lastAccepted.before(id) {
		return false
	}
	o.lastAccepted = id
	o.withdrawProbe(heartbeat.Token)
	return true
}

// withdrawProbe takes the probe back when a status in the known order carries it: the
// agent that is known has received the token, so that late copies of its heartbeats
// carry it too and the token proves no restart any more.
func (o *heartbeatOrder) withdrawProbe(token protocol.FencingToken) {
	if token >= o.probeToken {
		o.probeToken = 0
	}
}

// restartAt makes the heartbeat of a restarted agent the first of a new order.
func (o *heartbeatOrder) restartAt(heartbeat *protocol.Heartbeat) {
	o.lastAccepted = heartbeatIDOf(heartbeat)
	o.probeToken = 0
	o.restarted = true
}

// AcceptHeartbeat tells whether a heartbeat is newer than all before. A heartbeat that
// is not newer must not be applied, must not renew the lease and does not count as
// contact; it goes to DetectRestart.
func (m *Machine) AcceptHeartbeat(heartbeat *protocol.Heartbeat) bool {
	if !m.heartbeatOrder.accept(heartbeat) {
		return false
	}
	m.observeHeartbeat(heartbeat.Token)
	return true
}

// DetectRestart takes a heartbeat that AcceptHeartbeat has refused, and tells whether it
// proves that the agent has restarted. The first such heartbeat proves nothing, but the
// reply to it carries a probe token. A late copy was sent before the probe token was
// issued; only an agent that is there now, and counts from the beginning, can carry
// that token in a heartbeat that looks old.
//
// After a proved restart the incarnation and the sequence count anew, and the next
// status ends what ran in the former life.
func (m *Machine) DetectRestart(heartbeat *protocol.Heartbeat) bool {
	if m.probeToken == 0 {
		m.probeToken = m.issueNextToken()
		return false
	}
	if heartbeat.Token < m.probeToken {
		return false
	}
	m.restartAt(heartbeat)
	m.forgetIncarnations()
	return true
}
