package cluster

import "marblehaven/internal/protocol"

// restartDetector distinguishes late copies and statuses that were overtaken from those of
// an agent that has restarted and counts from the beginning again.
type restartDetector struct {
	// probeToken is a token that was issued after the newest status was applied and that
	// no earlier message to the agent carried. 0 means that no probe is outstanding.
	probeToken protocol.FencingToken
	// restarted is true from the proof that the agent has restarted until the first
	// status after the restart is applied.
	restarted bool
}

// withdrawProbe discards the probe when a status that is newer than the applied ones
// carries its token. The token then no longer proves a restart: an agent that has not
// restarted has received it, so late copies of that agent's heartbeats carry it too.
func (d *restartDetector) withdrawProbe(token protocol.FencingToken) {
	if token >= d.probeToken {
		d.probeToken = 0
	}
}

// DetectRestart reports whether a status, from a heartbeat or from the answer to a direct
// command, proves that the agent has restarted. A status that is newer than the applied
// ones proves nothing. The first other one proves nothing either: it may be a late copy, or
// a heartbeat that the answer to a command has overtaken. But from then on the replies and
// commands to the agent carry a probe token.
//
// A late copy was sent before the probe token was issued. An agent that has not restarted
// keeps its token while it counts up, so if a status that is not newer carried the probe
// token, the applied one would carry it too and the probe would have been withdrawn. Only a
// running agent that counts from the beginning again can send the probe token in a status
// that is not newer than the applied ones.
//
// A proved restart resets the incarnations and the sequence number, and the next applied
// status ends the placements from before the restart.
func (m *Machine) DetectRestart(status *protocol.Heartbeat) bool {
	if m.isNewer(status) {
		return false
	}
	if m.probeToken == 0 {
		m.probeToken = m.issueNextToken()
		return false
	}
	if status.Token < m.probeToken {
		return false
	}
	m.heartbeatOrder.beginWith(status)
	m.oneWayPartition = oneWayPartition{heartbeatToken: status.Token}
	m.probeToken = 0
	m.restarted = true
	m.resetIncarnations()
	return true
}
