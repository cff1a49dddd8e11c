package cluster

import (
	"time"

	"marblehaven/internal/protocol"
)

// ApplyStatus applies an agent's status, from an accepted heartbeat or from the answer to
// a direct command, and returns the placements that the status proves to have ended. A
// status that is not newer than the applied ones changes nothing, and fresh is false. If
// the status begins an incarnation, that incarnation may last until leaseEnd without any
// reply.
//
// A placement ends on one of these proofs only:
//   - The agent lists the attempt as exited.
//   - The agent is in a later incarnation, or has restarted.
//   - The agent does not list the attempt, and refuses every start of it that could
//     still arrive.
//
// The caller removes the returned placements with RemovePlacement.
func (m *Machine) ApplyStatus(status *protocol.Heartbeat, parse ParseTaskName, now, leaseEnd time.Time) (ended []EndedPlacement, fresh bool) {
	if !m.isNewer(status) {
		return nil, false
	}
	newIncarnation := status.Incarnation > m.Incarnation
	hadIncarnation := m.Incarnation > 0
	m.withdrawProbe(status.Token)
	unchanged := !newIncarnation && status.Token == m.AcknowledgedToken && m.saysNothingNew(status.Tasks)
	m.applyHeader(status, now)
	if unchanged {
		return nil, true // as do most statuses, of which a large site sends hundreds a second
	}
	if newIncarnation {
		ended = m.beginIncarnation(status.Incarnation, hadIncarnation, leaseEnd)
	}
	listed := m.index(status.Tasks, parse, m.isPlaced)
	ended = append(ended, m.endedPlacements(listed, now)...)
	m.pruneStartTokens(func(start attemptKey) bool { return m.Placements[start.TaskKey] != nil || m.lists(start) })
	return ended, true
}

// applyHeader applies what a status says of the machine and the agent themselves.
func (m *Machine) applyHeader(status *protocol.Heartbeat, now time.Time) {
	m.Addr, m.Type, m.Zone, m.Spot = status.Addr, status.MachineType, status.Zone, status.Spot
	m.advanceTo(status)
	m.recordContact(now)
	m.acknowledge(status.Token)
	m.PreemptionAt = time.Time{}
	if status.PreemptionNoticeS != nil {
		m.PreemptionAt = now.Add(time.Duration(*status.PreemptionNoticeS * float64(time.Second)))
	}
}

// beginIncarnation ends what ran in earlier incarnations. A later incarnation proves that
// all of that is gone, and that the agent refuses commands for earlier ones. A restart
// proves the same whatever the incarnation's number: the agent has acknowledged the
// probe token, and commands to its former life carry lower tokens.
//
// hadIncarnation tells whether a status of an earlier incarnation was applied.
func (m *Machine) beginIncarnation(incarnation protocol.Incarnation, hadIncarnation bool, leaseEnd time.Time) (ended []EndedPlacement) {
	ended = m.Placements.endedByIncarnation(incarnation, m.restarted)
	// The images survive the end of a lease. After a restart the machine may be
	// empty.
	if m.restarted {
		m.forgetImages()
	}
	// The agent lost its lease although its heartbeats were replied to, which means
	// that replies do not reach it. It gets no new work before it has acknowledged
	// a new token.
	if hadIncarnation || m.restarted {
		m.issueNextToken()
		m.requireIssuedToken()
	}
	m.restarted = false
	// The lease of an incarnation counts from its beginning. With the expiry of the
	// one before, an agent reached by direct commands only would have its new
	// incarnation taken for ended, and its tasks would be started twice.
	m.extendLease(leaseEnd)
	return ended
}

// endedPlacements reconciles the placements of the present incarnation with the tasks that
// the newest status lists, and returns the placements that have ended.
func (m *Machine) endedPlacements(listed map[TaskKey]*protocol.TaskStatus, now time.Time) (ended []EndedPlacement) {
	m.statusMatches = true
	for key, placement := range m.Placements {
		if placement.Incarnation != m.Incarnation {
			continue
		}
		status := listed[key]
		switch {
		case status == nil && placement.Sent && m.refusesStart(placement.StartToken):
			// Absence is a proof only because no start can arrive any more.
			ended = append(ended, EndedPlacement{Placement: placement})
		case status == nil:
			// An equal status may prove the end later, once a token is
			// acknowledged or the command in flight has ended.
			m.statusMatches = false
		case status.State == protocol.TaskExited:
			// A start may still arrive, but the agent ignores the start of an
			// attempt that it lists, and is told to forget the attempt only
			// after MayRelease.
			ended = append(ended, EndedPlacement{Placement: placement, ExitReason: status.ExitReason})
		default:
			placement.applyState(status.State, now)
		}
	}
	return ended
}
