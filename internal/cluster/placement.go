package cluster

import (
	"time"

	"marblehaven/internal/protocol"
)

// TaskKey names a task of a job.
type TaskKey struct {
	Job  protocol.JobID
	Task int
}

// Placement is a task that may be on a machine.
type Placement struct {
	TaskKey
	Attempt     uint64
	Incarnation protocol.Incarnation
	Machine     *Machine
	// Recorded: it is in the ledger, so its start may be sent.
	Recorded bool
	// Sent: its start may have left this or an earlier leader.
	Sent bool
	// StartToken is the token that its start was sent with. Copies of the start
	// may arrive at any time until the worker has seen a higher one.
	StartToken    protocol.FencingToken
	State         protocol.TaskState // as last reported
	Since         time.Time          // of the last change of State
	Stopping      bool               // a stop was ordered
	GracePeriodS  float64            // the stop's, in seconds
	StopOrderedAt time.Time          // when the stop was first ordered
}

// EndedPlacement is a placement that is over, with the cause the worker gave, or "" when
// it is gone without a word.
type EndedPlacement struct {
	*Placement
	ExitReason protocol.ExitReason
}

// PlacementTable holds the placements of a machine.
type PlacementTable map[TaskKey]*Placement

// include tells whether a task of a status belongs to a placement: the same attempt, in the
// incarnation that the status is of.
func (t PlacementTable) include(task *ReportedTask, incarnation protocol.Incarnation) bool {
	placement := t[task.Key]
	return task.Parsed && placement != nil && placement.Attempt == task.Attempt && placement.Incarnation == incarnation
}

// endedByIncarnation returns the placements that the beginning of an incarnation proves to
// be gone: those of earlier incarnations and, if the agent has restarted and counts
// anew, those of higher ones too. A restarted agent's first status decides on
// placements of the same number as on any other of its incarnation.
func (t PlacementTable) endedByIncarnation(incarnation protocol.Incarnation, restarted bool) (ended []EndedPlacement) {
	for _, placement := range t {
		if placement.Incarnation < incarnation || (restarted && placement.Incarnation > incarnation) {
			ended = append(ended, EndedPlacement{Placement: placement})
		}
	}
	return ended
}

// markSent records that the placement's start is about to be sent with a token.
func (p *Placement) markSent(token protocol.FencingToken) {
	p.Sent, p.StartToken = true, token
}

// applyState takes in the state that a status lists. A listed task was started, even if
// an earlier leader sent the start.
func (p *Placement) applyState(state protocol.TaskState, now time.Time) {
	p.Sent = true
	if p.State != state {
		p.State, p.Since = state, now
	}
}
