package cluster

import (
	"time"

	"marblehaven/internal/protocol"
)

// Machine is a machine that is rented, or named by a record of an earlier leader, with
// the agent on it. The leader's actor owns it, and only the actor's goroutine may call
// its methods.
//
// Each embedded part owns its fields and is documented at its type. Methods of Machine
// itself are those in which several parts must change together.
type Machine struct {
	// ID is the machine's name at the cloud and in heartbeats.
	ID string
	// Addr is where direct commands to the agent go; "" as long as it is unknown.
	Addr string
	Type string // the name of the machine type in the cloud's catalog
	Zone string
	Spot bool // a spot instance, which the cloud may take back

	// PreemptionAt is when the cloud takes the machine back; zero: no notice was
	// given.
	PreemptionAt  time.Time
	ProvisionedAt time.Time
	IdleSince     time.Time // since when the machine has had no placement
	GPUIdleSince  time.Time // since when no task that uses GPUs has ended
	// Deprovisioning tells that the machine is being returned to the cloud.
	Deprovisioning bool
	// WasSchedulable is the answer of Schedulable to the status before, by which the
	// leader notices a change.
	WasSchedulable bool

	Placements PlacementTable
	// Outbox holds the placements that are recorded in the store and whose starts
	// are still to be sent.
	Outbox []*Placement

	heartbeatOrder
	Fencing
	AgentLease
	FailureDetector
	TaskStatuses
	MachineHealth
	ImageCache
}

// NewMachine returns a machine of which only the name is known. The token is the first
// one for this machine, at least the first of the present term. An earlier leader may
// have renewed the agent's lease until leaseEnd, so that nothing recorded on the machine
// counts as gone before.
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

// CommandsResolved tells whether the outcome of every command sent to the agent is known:
// none is in flight, and the agent refuses those that were never answered and those of
// earlier leaders.
func (m *Machine) CommandsResolved() bool {
	return m.Up && m.tokenRequirementMet()
}

// Schedulable tells whether new work may be placed on the machine. Recent heartbeats are
// required beside a recent contact: an agent that answers commands but sends no
// heartbeats gets no replies, so that its lease expires and ends whatever was started.
func (m *Machine) Schedulable(now time.Time, maxSilence time.Duration) bool {
	return m.CommandsResolved() && m.incarnationMayLast() && m.inContact(now, maxSilence) && m.acceptsWork(now) &&
		!m.Deprovisioning && m.PreemptionAt.IsZero() && m.UnknownTaskCount == 0
}

// RemovePlacement drops a placement that has ended or that was never sent. A newer
// placement of the same task stays.
func (m *Machine) RemovePlacement(placement *Placement, now time.Time) {
	if m.Placements[placement.TaskKey] == placement {
		m.placementsChanged()
		delete(m.Placements, placement.TaskKey)
		if len(m.Placements) == 0 {
			m.IdleSince = now
		}
	}
}

// RecordStart records that a placement's start is about to be sent with the token that is
// issued now. The call must come before the start leaves, since from then on the start
// may be executed at any time until the agent acknowledges a higher token.
func (m *Machine) RecordStart(placement *Placement) {
	m.placementsChanged()
	placement.markSent(m.IssuedToken)
	m.recordStartToken(placement.TaskKey, placement.Attempt)
}

// RecordCommandOutcome records how a direct command ended: whether it carried starts, and
// whether it was answered, so that its outcome is known. See Fencing for what is issued
// and required afterwards.
func (m *Machine) RecordCommandOutcome(hadStarts, known bool) {
	m.finishCommand(hadStarts, known)
	m.recordCommandAnswer(known)
}
