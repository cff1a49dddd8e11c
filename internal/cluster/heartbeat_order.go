package cluster

import (
	"marblehaven/internal/protocol"
)

// heartbeatID orders the reports of a worker.
type heartbeatID struct {
	incarnation protocol.Incarnation
	sequence    uint64
}

func (id heartbeatID) before(other heartbeatID) bool {
	return id.incarnation < other.incarnation || (id.incarnation == other.incarnation && id.sequence < other.sequence)
}

// AcceptHeartbeat tells whether a report that came by itself is newer than all before it.
// One that is not is a late copy, which proves nothing, or comes from a worker
// that began anew, counting from the start. A worker has one report under way at
// a time, so between reports that came by themselves there is no other reason.
func (m *Machine) AcceptHeartbeat(heartbeat *protocol.Heartbeat) bool {
	id := heartbeatID{heartbeat.Incarnation, heartbeat.Sequence}
	if !m.lastAccepted.before(id) {
		return false
	}
	// A worker that hears us shows a higher token soon after it was answered.
	if m.answeredToken > heartbeat.Token && m.lastAcceptedToken == heartbeat.Token {
		m.unacknowledged++
	} else {
		m.unacknowledged = 0
	}
	m.lastAccepted, m.lastAcceptedToken = id, heartbeat.Token
	if heartbeat.Token >= m.probeToken {
		m.probeToken = 0 // the worker we know has seen it, so it proves nothing more
	}
	return true
}

// DetectRestart takes in a report that is not newer than others. To tell a late copy
// from a worker that began anew, the answer carries a token never sent before;
// only a worker that is there and counts from the start can show it in a report
// that looks old. It returns true if that is proved: then all that its former
// life ran is gone, and its counters count from here.
func (m *Machine) DetectRestart(heartbeat *protocol.Heartbeat) bool {
	switch {
	case m.probeToken == 0:
		m.probeToken = m.issueNextToken()
		return false
	case heartbeat.Token < m.probeToken:
		return false
	}
	m.Incarnation, m.Sequence, m.ExpiredIncarnation, m.lastAccepted, m.probeToken = 0, 0, 0, heartbeatID{heartbeat.Incarnation, heartbeat.Sequence}, 0
	m.restarted = true
	return true
}
