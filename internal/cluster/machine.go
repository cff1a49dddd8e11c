package cluster

import (
	"time"

	"marblehaven/internal/protocol"
)

// Machine is a rented machine. The leader's actor owns it.
type Machine struct {
	ID, Addr, Type, Zone string
	Spot                 bool

	Incarnation        protocol.Incarnation // of the newest status
	Sequence           uint64               // of the newest status
	LastContact        time.Time            // a report or a direct command's answer
	LastHeartbeat      time.Time            // a report that came by itself, or when it became known
	LeaseExpiry        time.Time            // after it, what was on it in its session is gone
	ExpiredIncarnation protocol.Incarnation // the session that has surely ended
	PreemptionAt       time.Time            // when the cloud takes it; zero: no notice
	ProvisionedAt      time.Time
	IdleSince          time.Time
	GPUIdleSince       time.Time // since when no GPU has been in use
	BackoffUntil       time.Time
	NextHandshake      time.Time // no handshake before
	Up                 bool      // has reported
	Deprovisioning     bool      // is being given back
	UnansweredCommands int       // direct commands in a row without an answer or a report since
	UnknownTaskCount   int       // reported tasks that we have no record of and that still run
	Quarantined        bool
	WasSchedulable     bool // as last looked at

	Placements    map[TaskKey]*Placement
	ReportedTasks []ReportedTask
	Outbox        []*Placement // recorded, to be sent
	statusMatches bool         // the newest report lists just what is live, and nothing of it has changed since
	failedJobs    map[protocol.JobID]bool

	heartbeatOrder
	oneWayPartition
	Fencing
	ImageCache
}

// NewMachine makes a machine known by its name only.
// The token is the first of the present term.
func NewMachine(id string, token protocol.FencingToken, now time.Time, leaseEnd time.Time) *Machine {
	return &Machine{ID: id, Fencing: newFencing(token), ProvisionedAt: now, LastHeartbeat: now, IdleSince: now, GPUIdleSince: now, LeaseExpiry: leaseEnd,
		Placements: map[TaskKey]*Placement{}, failedJobs: map[protocol.JobID]bool{}}
}

// CommandsResolved tells whether the outcomes of all commands sent here are known.
func (m *Machine) CommandsResolved() bool {
	return m.Up && m.tokenRequirementMet()
}

// Schedulable tells whether new work may be placed. A machine that answers commands but
// reports nothing by itself is answered nothing, so its lease runs out whatever is
// started there.
func (m *Machine) Schedulable(now time.Time, maxSilence time.Duration) bool {
	return m.CommandsResolved() && !m.OneWayPartitioned() && !m.Deprovisioning && !m.Quarantined && m.UnknownTaskCount == 0 && m.Incarnation > m.ExpiredIncarnation &&
		m.PreemptionAt.IsZero() && now.After(m.BackoffUntil) && now.Sub(m.LastContact) <= maxSilence && now.Sub(m.LastHeartbeat) <= maxSilence
}

// RemovePlacement forgets a placement that is over.
func (m *Machine) RemovePlacement(placement *Placement, now time.Time) {
	if m.Placements[placement.TaskKey] == placement {
		m.statusMatches = false
		delete(m.Placements, placement.TaskKey)
		if len(m.Placements) == 0 {
			m.IdleSince = now
		}
	}
}

// RecordStart notes that a placement's start is about to be sent.
func (m *Machine) RecordStart(placement *Placement) {
	m.statusMatches = false
	placement.Sent, placement.StartToken = true, m.IssuedToken
	m.recordStartToken(placement.TaskKey, placement.Attempt)
}

// RecordCommandOutcome notes how a direct command with or without starts went. The higher
// token that follows makes the worker refuse late ones and copies of it once it
// was shown. If the outcome is unknown, no new work is given before that.
func (m *Machine) RecordCommandOutcome(hadStarts, known bool) {
	m.finishCommand(hadStarts, known)
	if known {
		m.UnansweredCommands = 0
	} else {
		m.UnansweredCommands++
	}
}
