package cluster

import (
	"time"

	"marblehaven/internal/protocol"
)

// ApplyStatus takes in a report and returns the placements that it ends. A report
// that is not newer than the last one changes nothing: fresh is false. A session
// that began by now may last until leaseEnd without any answer of ours.
//
// A placement ends on one of these proofs only: the worker lists its attempt as exited;
// a later session, or a new life; or its absence, once no start of it can arrive any
// more.
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
		return nil, true // most reports: hundreds a second at a large site
	}
	if newIncarnation {
		ended = m.beginIncarnation(status.Incarnation, hadIncarnation, leaseEnd)
	}
	listed := m.index(status.Tasks, parse, m.isPlaced)
	ended = append(ended, m.endedPlacements(listed, now)...)
	m.pruneStartTokens(func(start attemptKey) bool { return m.Placements[start.TaskKey] != nil || m.lists(start) })
	return ended, true
}

// applyHeader takes in what a report says of the machine itself.
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

// beginIncarnation ends what earlier sessions ran: a higher tenure proves that all of that
// is gone and that commands still under way for it will be refused. So does a new life,
// whatever its count: the token that it shows was not sent before, and commands of the
// former life carry lower ones. hadIncarnation tells whether there was a session before.
func (m *Machine) beginIncarnation(incarnation protocol.Incarnation, hadIncarnation bool, leaseEnd time.Time) (ended []EndedPlacement) {
	ended = m.Placements.endedByIncarnation(incarnation, m.restarted)
	// A session that ends takes the tasks, not the images, but a new life may
	// be an empty machine's.
	if m.restarted {
		m.forgetImages()
	}
	// That it lost its lease although its reports were answered shows that
	// answers do not reach it: it must show a new token before new work.
	if hadIncarnation || m.restarted {
		m.issueNextToken()
		m.requireIssuedToken()
	}
	m.restarted = false
	// The lease of a new session counts from its beginning. Without this a
	// worker that was reached by direct commands only had its new session
	// taken for over with the old one, and its tasks were started twice.
	m.extendLease(leaseEnd)
	return ended
}

// endedPlacements draws the conclusions from the known tasks of the newest report for the
// placements of its session.
func (m *Machine) endedPlacements(listed map[TaskKey]*protocol.TaskStatus, now time.Time) (ended []EndedPlacement) {
	m.statusMatches = true
	for key, placement := range m.Placements {
		if placement.Incarnation != m.Incarnation {
			continue
		}
		status := listed[key]
		switch {
		case status == nil && placement.Sent && m.refusesStart(placement.StartToken):
			// Absent: proof only once no start of it can arrive any more.
			ended = append(ended, EndedPlacement{Placement: placement})
		case status == nil:
			m.statusMatches = false // its absence may come to prove something
		case status.State == protocol.TaskExited:
			// The worker ignores a repeated start as long as it lists the
			// attempt, so the placement is over although a start may be late.
			ended = append(ended, EndedPlacement{Placement: placement, ExitReason: status.ExitReason})
		default:
			placement.applyState(status.State, now)
		}
	}
	return ended
}
