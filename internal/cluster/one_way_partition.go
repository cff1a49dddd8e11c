package cluster

import (
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// oneWayPartition detects that an agent's heartbeats arrive while the replies to them do
// not reach the agent. A reply that was sent then proves nothing: the agent does not
// renew its lease.
//
// An agent that receives replies sends a higher token in its heartbeats soon after a
// reply has carried one.
type oneWayPartition struct {
	repliedToken   protocol.FencingToken // in the newest reply to a heartbeat
	heartbeatToken protocol.FencingToken // in the newest accepted heartbeat
	// unacknowledged counts consecutive accepted heartbeats whose token stayed below the
	// token of the previous reply.
	unacknowledged int
}

// observeHeartbeat updates the count with the token of an accepted heartbeat.
func (p *oneWayPartition) observeHeartbeat(token protocol.FencingToken) {
	if p.repliedToken > token && p.heartbeatToken == token {
		p.unacknowledged++
	} else {
		p.unacknowledged = 0
	}
	p.heartbeatToken = token
}

// OneWayPartitioned reports whether replies have not reached the agent for
// tuning.OneWayPartitionHeartbeats heartbeats.
func (p *oneWayPartition) OneWayPartitioned() bool {
	return p.unacknowledged >= tuning.OneWayPartitionHeartbeats
}

// RecordHeartbeatReply records that the reply to a heartbeat carries the token that is
// issued now.
func (m *Machine) RecordHeartbeatReply() { m.repliedToken = m.IssuedToken }
