package cluster

import (
	"time"

	"marblehaven/internal/protocol"
)

// ApplyStatus applies an agent's status, from an accepted heartbeat or from the answer to
// a direct command, and returns the placements that the status proves to have ended. A
// status that is not newer than the applied ones changes nothing, and fresh is false. If
// the status starts a new incarnation, that incarnation may last until leaseEnd without
// any reply to its heartbeats.
//
// A placement ends on one of these proofs only:
//
//   - The agent lists the attempt as exited.
//   - The agent is in a later incarnation, or has restarted, and the status is not a copy
//     from before the placement (see endedWithIncarnation).
//   - The agent does not list the attempt, and refuses every start of it that could still
//     arrive.
//
// The caller removes the returned placements with RemovePlacement.
func (m *Machine) ApplyStatus(status *protocol.Heartbeat, parse ParseTaskName, now, leaseEnd time.Time) (ended []EndedPlacement, fresh bool) {
	if !m.isNewer(status) {
		return nil, false
	}
	newIncarnation := status.Incarnation > m.Incarnation
	hadIncarnation := m.Incarnation > 0
	m.withdrawProbe(status.Token)
	unchanged := !newIncarnation && status.Token == m.AcknowledgedToken && m.tasksUnchanged(status.Tasks)
	m.applyHeader(status, now)
	if unchanged {
		return nil, true // the usual case; a large site sends hundreds of statuses a second
	}
	if newIncarnation {
		m.beginIncarnation(hadIncarnation, leaseEnd)
	}
	listed := m.setReportedTasks(status.Tasks, parse, m.isPlaced)
	ended = m.endedPlacements(listed, now)
	m.pruneStartTokens(func(start attemptKey) bool { return m.Placements[start.TaskKey] != nil || m.lists(start) })
	return ended, true
}

// isNewer reports whether a status is newer than the applied ones. A lower token than the
// acknowledged one shows that the status is from before or after a restart of the agent,
// so that its number says nothing about its age.
func (m *Machine) isNewer(status *protocol.Heartbeat) bool {
	return status.Token >= m.AcknowledgedToken && m.AgentLease.isNewer(status)
}

// applyHeader applies the fields of a status that describe the machine and the agent
// rather than tasks.
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

// beginIncarnation records that the newest status is the first one of an incarnation.
//
// hadIncarnation is true if a status of an earlier incarnation was applied.
func (m *Machine) beginIncarnation(hadIncarnation bool, leaseEnd time.Time) {
	// Cached images survive the end of a lease. After a restart the machine may have
	// none.
	if m.restarted {
		m.clearImages()
	}
	// The agent has restarted, or lost its lease although its heartbeats were replied to,
	// which means that replies do not reach the agent. It gets no new work before it has
	// acknowledged a new token.
	if hadIncarnation || m.restarted {
		m.issueNextToken()
		m.requireIssuedToken()
	}
	m.restarted = false
	m.keepLeaseExpiry()
	// The lease of an incarnation counts from the start of the incarnation. If the expiry
	// of the previous incarnation were kept, and the agent were reached by direct commands
	// only, the new incarnation would count as ended, and its tasks would be started
	// twice.
	m.extendLease(leaseEnd)
}

// endedWithIncarnation reports whether the newest status, which is of another incarnation
// than a placement, proves that the placement has ended. A later incarnation proves it, and
// that the agent refuses commands for earlier ones. A restart proves the same for any
// incarnation number.
//
// The first statuses that a new leader receives may be late copies from before a restart,
// in a higher incarnation than the records name. Only a status that carries a higher token
// than the start was sent with is surely from after it, and shows that the agent refuses
// copies of the start. Placements of this term need no such token if the incarnation is
// later: they were made once the agent had acknowledged a token that no status from before
// its last restart carries.
func (m *Machine) endedWithIncarnation(placement *Placement) bool {
	if !placement.Sent || m.AcknowledgedToken > placement.StartToken {
		return true
	}
	return placement.StartToken >= m.firstTokenOfTerm() && placement.Incarnation < m.Incarnation
}

// endedPlacements reconciles the placements with the tasks that the newest status lists,
// and returns the placements that have ended.
func (m *Machine) endedPlacements(listed map[TaskKey]*protocol.TaskStatus, now time.Time) (ended []EndedPlacement) {
	m.statusMatches = true
	for key, placement := range m.Placements {
		status := listed[key]
		switch {
		case placement.Incarnation != m.Incarnation && m.endedWithIncarnation(placement):
			ended = append(ended, EndedPlacement{Placement: placement})
		case placement.Incarnation != m.Incarnation:
			m.statusMatches = false
		case status == nil && placement.Sent && m.refusesStart(placement.StartToken):
			// The missing entry proves the end only because no start can arrive any more.
			ended = append(ended, EndedPlacement{Placement: placement})
		case status == nil:
			// An equal status may prove the end later, once a token is
			// acknowledged or the command in flight has ended.
			m.statusMatches = false
		case status.State == protocol.TaskExited:
			// A start may still arrive, but the agent ignores the start of an attempt
			// that it lists, and the leader lets the agent forget the attempt only once
			// MayRelease allows it.
			ended = append(ended, EndedPlacement{Placement: placement, ExitReason: status.ExitReason})
		default:
			placement.applyState(status.State, now)
		}
	}
	return ended
}
