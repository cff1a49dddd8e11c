package cluster

import (
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// RecordTaskFailure notes that a task of a job failed here. Different jobs failing on one
// machine show that it is the machine.
func (m *Machine) RecordTaskFailure(jobID protocol.JobID) {
	m.failedJobs[jobID] = true
	m.Quarantined = len(m.failedJobs) >= tuning.QuarantineJobs
}
