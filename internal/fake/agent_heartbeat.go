package fake

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
)

// heartbeat returns the agent's next heartbeat, with the next sequence number of the incarnation.
func (m *machineAgent) heartbeat() protocol.Heartbeat {
	m.sequence++
	heartbeat := protocol.Heartbeat{Machine: m.id, Addr: m.addr, MachineType: m.machineType.Name, Zone: m.zone, Spot: m.spot, Incarnation: m.incarnation,
		Sequence: m.sequence, Token: m.token, Tasks: []protocol.TaskStatus{}}
	if !m.preemptionAt.IsZero() {
		remainingS := time.Until(m.preemptionAt).Seconds()
		heartbeat.PreemptionNoticeS = &remainingS
	}
	for _, task := range m.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: fmt.Sprintf("%s/%d", task.jobID, task.index), Attempt: task.attempt,
			State: task.state, ExitReason: task.exitReason, Checkpointed: task.checkpointed})
	}
	return heartbeat
}

// sendHeartbeats sends heartbeats to one node after another until the leader answers, and
// then to the leader. The agent's lease runs from the time when the answered heartbeat was
// sent, which is before the controller received it, so the lease expires at the agent first.
func (m *machineAgent) sendHeartbeats() {
	client := httpclient.Client{HTTP: &http.Client{Transport: m.env.Network.From(m.env.ctx, m.id)}}
	lastSent := longAgo()
	for {
		time.Sleep(2 * m.env.currentStep())
		m.env.mu.Lock()
		if m.shouldStop() {
			m.env.mu.Unlock()
			return
		}
		if !m.heartbeatDue(lastSent) {
			m.env.mu.Unlock()
			continue
		}
		m.statusChanged = false
		heartbeat, boots := m.heartbeat(), m.boots
		m.lastHeartbeat = heartbeat
		addr := m.env.nodeAddrs[m.nodeIndex%len(m.env.nodeAddrs)]
		m.env.mu.Unlock()
		lastSent = time.Now()
		answer := m.postHeartbeat(client, addr, heartbeat)
		m.env.mu.Lock()
		m.awaitNotHung() // a hung machine handles the answer once it no longer hangs
		if answer.accepted && time.Since(lastSent) <= heartbeatTimeout && m.boots == boots {
			m.applyReply(&answer.reply, heartbeat.Incarnation, lastSent)
			m.env.mu.Unlock()
			continue
		}
		leaderIndex := m.indexOfLeader(answer.redirect.Leader, addr)
		m.env.mu.Unlock()
		m.selectNode(leaderIndex)
		lastSent = longAgo()
	}
}

const (
	heartbeatPath = "/hello"
	// heartbeatTimeout is how long an agent waits for the answer to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// minHeartbeatInterval is the least time from a heartbeat to an early one after a change of status.
	minHeartbeatInterval = 500 * time.Millisecond
	// nodeRetryInterval is the pause before an agent sends a heartbeat to the next node.
	nodeRetryInterval = time.Second
)

// longAgo returns a time so long ago that the next heartbeat is due at once if this time is
// used as that of the last heartbeat.
func longAgo() time.Time { return time.Now().Add(-time.Hour) }

// heartbeatDue reports whether the next heartbeat is due: after the configured interval, or
// after minHeartbeatInterval if the status has changed. A hung machine sends no heartbeats.
func (m *machineAgent) heartbeatDue(lastSent time.Time) bool {
	if m.hung || len(m.env.nodeAddrs) == 0 {
		return false
	}
	if time.Since(lastSent).Seconds() >= m.env.Cfg.Workers.ReportS {
		return true
	}
	return m.statusChanged && time.Since(lastSent) >= minHeartbeatInterval
}

// heartbeatAnswer is a node's answer to a heartbeat; accepted is false if the node redirected
// the agent, refused the heartbeat or did not answer.
type heartbeatAnswer struct {
	accepted bool
	reply    protocol.HeartbeatReply // if accepted
	redirect protocol.Redirect       // names the leader, if the node has found one
}

// postHeartbeat sends a heartbeat to a node and waits for the answer.
func (m *machineAgent) postHeartbeat(client httpclient.Client, addr string, heartbeat protocol.Heartbeat) heartbeatAnswer {
	ctx, cancel := context.WithTimeout(m.env.ctx, heartbeatTimeout)
	defer cancel()
	var reply protocol.HeartbeatReply
	var redirect protocol.Redirect
	err := client.Do(ctx, httpclient.Request{Method: http.MethodPost, URL: "http://" + addr + heartbeatPath, Body: heartbeat,
		Responses: map[int]any{http.StatusOK: &reply, http.StatusMisdirectedRequest: &redirect}})
	return heartbeatAnswer{err == nil, reply, redirect}
}

// applyReply renews the lease and carries out the commands of a reply. It ignores replies
// with an old fencing token and replies to heartbeats of an earlier incarnation.
func (m *machineAgent) applyReply(reply *protocol.HeartbeatReply, incarnation protocol.Incarnation, sent time.Time) {
	if reply.Token < m.token || incarnation != m.incarnation || m.removed {
		return
	}
	m.leaseRenewed, m.answered = sent, true
	m.setToken(reply.Token)
	m.executeCommands(reply.Commands)
}

// indexOfLeader returns the index of the node that a redirect names as leader, or -1 if the
// redirect names no known node or the node that sent the redirect.
func (m *machineAgent) indexOfLeader(leader, askedAddr string) int {
	index := -1
	for i, addr := range m.env.nodeAddrs {
		if leader != "" && m.env.addrByNode[leader] == addr && addr != askedAddr {
			index = i
		}
	}
	return index
}

// selectNode selects the node for the next heartbeat: the leader if leaderIndex is not negative,
// otherwise, after a pause, the next node.
func (m *machineAgent) selectNode(leaderIndex int) {
	if leaderIndex >= 0 {
		m.nodeIndex = leaderIndex
		return
	}
	m.nodeIndex++
	time.Sleep(nodeRetryInterval)
}
