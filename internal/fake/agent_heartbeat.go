package fake

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
)

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

// sendHeartbeats is the loop of reports.
func (m *machineAgent) sendHeartbeats() {
	hc := &http.Client{Transport: m.env.Network.From(m.env.life, m.id)}
	lastSent := time.Now().Add(-time.Hour)
	for {
		time.Sleep(2 * m.env.Step)
		m.env.mu.Lock()
		if m.removed || m.env.life.Err() != nil {
			m.env.mu.Unlock()
			return
		}
		due := time.Since(lastSent).Seconds() >= m.env.Cfg.Workers.ReportS || (m.statusChanged && time.Since(lastSent) >= 500*time.Millisecond)
		if m.hung || !due || len(m.env.Nodes) == 0 {
			m.env.mu.Unlock()
			continue
		}
		m.statusChanged = false
		msg := m.heartbeat()
		addr := m.env.Nodes[m.nodeIndex%len(m.env.Nodes)]
		m.env.mu.Unlock()
		lastSent = time.Now()
		ctx, cancel := context.WithTimeout(m.env.life, 4*time.Second)
		var reply protocol.HeartbeatReply
		var redirect protocol.Redirect
		status, err := httpclient.Call(ctx, hc, http.MethodPost, "http://"+addr+"/hello", msg, map[int]any{200: &reply, 421: &redirect})
		cancel()
		m.env.mu.Lock()
		for m.hung && !m.removed { // it takes the answer when it goes on
			m.env.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			m.env.mu.Lock()
		}
		if time.Since(lastSent) > 4*time.Second {
			status = 0
		}
		if status == 200 && err == nil {
			if reply.Token >= m.token && msg.Incarnation == m.incarnation && !m.removed {
				m.leaseRenewed = lastSent
				m.setToken(reply.Token)
				m.executeCommands(reply.Commands)
			}
			m.env.mu.Unlock()
			continue
		}
		leaderIndex := -1
		for i, candidate := range m.env.Nodes {
			if redirect.Leader != "" && m.env.nodeAddrs[redirect.Leader] == candidate && candidate != addr {
				leaderIndex = i
			}
		}
		m.env.mu.Unlock()
		if leaderIndex >= 0 {
			m.nodeIndex = leaderIndex
		} else {
			m.nodeIndex++
			time.Sleep(time.Second)
		}
		lastSent = time.Now().Add(-time.Hour)
	}
}
