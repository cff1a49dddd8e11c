package cluster

import (
	"time"

	"marblehaven/internal/protocol"
)

// TaskKey identifies a task of a job.
type TaskKey struct {
	Job  protocol.JobID
	Task int
}

// Placement is one attempt of a task that runs on a machine, is to be started there, or
// may still run there because no proof of its end has arrived.
//
// The steps follow in this order: the placement is recorded in the store, its start is
// sent, a proof of its end arrives, and only then may the task be placed again.
type Placement struct {
	TaskKey
	Attempt     uint64
	Incarnation protocol.Incarnation // of the agent that the attempt is placed with
	Machine     *Machine
	// Recorded is true once the placement is in the stored run record. Its start must not
	// be sent before, because the next leader would then have no record of the task.
	Recorded bool
	// Sent is true if this leader or an earlier one may have sent the start.
	Sent bool
	// StartToken is the token that the start was sent with. Copies of the start may
	// arrive at any time until the agent has acknowledged a higher token.
	StartToken protocol.FencingToken
	// State is the state in the newest status that lists the attempt; "" if none has.
	State         protocol.TaskState
	Since         time.Time // when State last changed, or when the task was placed
	Stopping      bool      // a stop was ordered
	GracePeriodS  float64   // the grace period of the stop, in seconds
	StopOrderedAt time.Time // when the stop was ordered; decides whether a direct command is due
	// leaseExpiry is the time by which all tasks of the placement's incarnation have ended,
	// once the machine's lease is that of another incarnation. Zero before.
	leaseExpiry time.Time
}

// EndedPlacement is a placement that has provably ended. ExitReason is what the agent
// gave as the reason, or "" if the placement ended without a listed exit.
type EndedPlacement struct {
	*Placement
	ExitReason protocol.ExitReason
}

// PlacementTable holds the placements of a machine by task. A task has one placement at a
// time.
type PlacementTable map[TaskKey]*Placement

// contains reports whether a task of a status belongs to a placement: the same attempt, in
// the incarnation that sent the status.
func (t PlacementTable) contains(task *ReportedTask, incarnation protocol.Incarnation) bool {
	placement := t[task.Key]
	return task.Parsed && placement != nil && placement.Attempt == task.Attempt && placement.Incarnation == incarnation
}

// markSent records that the placement's start is about to be sent with a token.
func (p *Placement) markSent(token protocol.FencingToken) {
	p.Sent, p.StartToken = true, token
}

// applyState records the state that a status lists. A listed task was started, possibly
// by an earlier leader.
func (p *Placement) applyState(state protocol.TaskState, now time.Time) {
	p.Sent = true
	if p.State != state {
		p.State, p.Since = state, now
	}
}
