package cluster

import (
	"time"

	"marblehaven/internal/protocol"
)

// Machine is a rented machine. The leader's actor owns it.
type Machine struct {
	ID, Addr, Type, Zone string
	Spot                 bool

	PreemptionAt   time.Time // when the cloud takes it; zero: no notice
	ProvisionedAt  time.Time
	IdleSince      time.Time
	GPUIdleSince   time.Time // since when no GPU has been in use
	Deprovisioning bool      // is being given back
	WasSchedulable bool      // as last looked at

	Placements PlacementTable
	Outbox     []*Placement // recorded, to be sent

	heartbeatOrder
	Fencing
	AgentLease
	FailureDetector
	TaskStatuses
	MachineHealth
	ImageCache
}

// NewMachine makes a machine known by its name only.
// The token is the first of the present term.
func NewMachine(id string, token protocol.FencingToken, now time.Time, leaseEnd time.Time) *Machine {
	return &Machine{
		ID:              id,
		ProvisionedAt:   now,
		IdleSince:       now,
		GPUIdleSince:    now,
		Placements:      PlacementTable{},
		Fencing:         newFencing(token),
		AgentLease:      AgentLease{LeaseExpiry: leaseEnd},
		FailureDetector: FailureDetector{LastHeartbeat: now},
		MachineHealth:   newMachineHealth(),
	}
}

// CommandsResolved tells whether the outcomes of all commands sent here are known.
func (m *Machine) CommandsResolved() bool {
	return m.Up && m.tokenRequirementMet()
}

// Schedulable tells whether new work may be placed. A machine that answers commands but
// reports nothing by itself is answered nothing, so its lease runs out whatever is
// started there.
func (m *Machine) Schedulable(now time.Time, maxSilence time.Duration) bool {
	return m.CommandsResolved() && m.incarnationMayLast() && m.inContact(now, maxSilence) && m.acceptsWork(now) &&
		!m.Deprovisioning && m.PreemptionAt.IsZero() && m.UnknownTaskCount == 0
}

// RemovePlacement forgets a placement that is over.
func (m *Machine) RemovePlacement(placement *Placement, now time.Time) {
	if m.Placements[placement.TaskKey] == placement {
		m.placementsChanged()
		delete(m.Placements, placement.TaskKey)
		if len(m.Placements) == 0 {
			m.IdleSince = now
		}
	}
}

// RecordStart notes that a placement's start is about to be sent.
func (m *Machine) RecordStart(placement *Placement) {
	m.placementsChanged()
	placement.markSent(m.IssuedToken)
	m.recordStartToken(placement.TaskKey, placement.Attempt)
}

// RecordCommandOutcome notes how a direct command with or without starts went. The higher
// token that follows makes the worker refuse late ones and copies of it once it
// was shown. If the outcome is unknown, no new work is given before that.
func (m *Machine) RecordCommandOutcome(hadStarts, known bool) {
	m.finishCommand(hadStarts, known)
	m.recordCommandAnswer(known)
}
