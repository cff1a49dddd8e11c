package cluster

import (
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// oneWayPartition detects that an agent's heartbeats arrive while the replies to them do
// not reach the agent. Then a reply proves nothing: the agent renews no lease from it.
//
// An agent that receives replies carries a higher token soon after a reply with one.
type oneWayPartition struct {
	repliedToken   protocol.FencingToken // in the newest reply to a heartbeat
	heartbeatToken protocol.FencingToken // in the newest accepted heartbeat
	// unacknowledged counts the accepted heartbeats in a row whose token stayed
	// below the one of the reply before.
	unacknowledged int
}

// observeHeartbeat takes in the token of an accepted heartbeat.
func (p *oneWayPartition) observeHeartbeat(token protocol.FencingToken) {
	if p.repliedToken > token && p.heartbeatToken == token {
		p.unacknowledged++
	} else {
		p.unacknowledged = 0
	}
	p.heartbeatToken = token
}

// OneWayPartitioned tells whether replies have not reached the agent for some heartbeats.
func (p *oneWayPartition) OneWayPartitioned() bool {
	return p.unacknowledged >= tuning.OneWayPartitionHeartbeats
}

// RecordHeartbeatReply records that a heartbeat is replied to with the token that is issued now.
func (m *Machine) RecordHeartbeatReply() { m.repliedToken = m.IssuedToken }
