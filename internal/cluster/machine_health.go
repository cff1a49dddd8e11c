package cluster

import (
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// MachineHealth stops new work from being placed on a machine on which tasks fail.
type MachineHealth struct {
	// Quarantined is true once the machine itself is considered faulty.
	Quarantined bool
	// BackoffUntil is when the machine may be given work again after it has refused
	// a start.
	BackoffUntil time.Time

	failedJobs map[protocol.JobID]bool
}

func newMachineHealth() MachineHealth {
	return MachineHealth{failedJobs: map[protocol.JobID]bool{}}
}

// RecordTaskFailure records that a task of a job failed on the machine. A single failing
// job may itself be at fault; when different jobs fail, the machine is quarantined.
func (h *MachineHealth) RecordTaskFailure(jobID protocol.JobID) {
	h.failedJobs[jobID] = true
	h.Quarantined = len(h.failedJobs) >= tuning.QuarantineJobs
}

// acceptsWork reports whether the machine is neither quarantined nor backing off.
func (h *MachineHealth) acceptsWork(now time.Time) bool {
	return !h.Quarantined && now.After(h.BackoffUntil)
}
