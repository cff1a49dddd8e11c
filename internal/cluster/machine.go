package cluster

import (
	"time"

	"marblehaven/internal/protocol"
)

// Machine is a provisioned machine, or one named by a record of an earlier leader, with
// the agent on it. The leader's actor owns it, and only the actor's goroutine may call
// its methods.
//
// Each embedded part owns its fields and is documented at its type. Methods of Machine
// itself are those in which several parts must change together.
type Machine struct {
	// ID identifies the machine in the cloud and in heartbeats.
	ID string
	// Addr is the address for direct commands to the agent; "" while it is unknown.
	Addr string
	Type string // the name of the machine type in the cloud's catalog
	Zone string
	Spot bool // a spot instance, which the cloud may preempt

	// PreemptionAt is when the cloud preempts the machine. Zero means that no preemption
	// notice was given.
	PreemptionAt  time.Time
	ProvisionedAt time.Time
	IdleSince     time.Time // since when the machine has had no placement
	GPUIdleSince  time.Time // when a task that uses GPUs last ended, or when the machine came up
	// Deprovisioning is true once the machine is being returned to the cloud.
	Deprovisioning bool
	// WasSchedulable is the result of Schedulable at the previous status. The leader
	// compares the two to detect a change.
	WasSchedulable bool

	Placements PlacementTable
	// Outbox holds the placements that are recorded in the store and whose starts
	// are still to be sent.
	Outbox []*Placement

	heartbeatOrder
	restartDetector
	Fencing
	AgentLease
	FailureDetector
	TaskStatuses
	MachineHealth
	ImageCache
}

// NewMachine returns a machine of which only the ID is known. The token is the first one
// for this machine, at least the first of the current term. An earlier leader may have
// renewed the agent's lease until leaseEnd, so no placement recorded on the machine
// counts as ended before that time.
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

// InheritPlacement adds a placement that an earlier leader has recorded. That leader had
// applied a status of the placement's incarnation. A status of a lower incarnation is
// therefore a late copy, or the agent has restarted since.
func (m *Machine) InheritPlacement(placement *Placement) {
	m.Placements[placement.TaskKey] = placement
	m.inheritedIncarnation = max(m.inheritedIncarnation, placement.Incarnation)
}

// CommandsResolved reports whether the outcome of every command sent to the agent is
// known: none is in flight, and the agent refuses those that were never answered and
// those of earlier leaders.
func (m *Machine) CommandsResolved() bool {
	return m.Up && m.tokenRequirementMet()
}

// Schedulable reports whether new work may be placed on the machine. Recent heartbeats
// are required in addition to recent contact: an agent that answers commands but sends no
// heartbeats gets no replies, so its lease expires and ends every task that was started.
func (m *Machine) Schedulable(now time.Time, maxSilence time.Duration) bool {
	return m.CommandsResolved() && m.hasUnexpiredIncarnation() && m.inContact(now, maxSilence) && m.acceptsWork(now) &&
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
// issued now. RecordStart must be called before the start is sent, because from then on
// the start may be executed at any time until the agent acknowledges a higher token.
func (m *Machine) RecordStart(placement *Placement) {
	m.placementsChanged()
	placement.markSent(m.IssuedToken)
	m.recordStartToken(placement.TaskKey, placement.Attempt)
}

// RecordCommandOutcome records how a direct command ended: whether it carried starts, and
// whether it was answered, so that its outcome is known. Fencing.finishCommand describes
// which tokens are issued and required afterwards.
func (m *Machine) RecordCommandOutcome(hadStarts, known bool) {
	m.finishCommand(hadStarts, known)
	m.recordCommandAnswer(known)
}
