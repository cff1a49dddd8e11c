package cluster

import (
	"fmt"
	"testing"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// Failures of one job do not quarantine a machine, failures of different jobs do.
func TestFailuresOfDifferentJobsQuarantineMachine(t *testing.T) {
	machine, _, now := machineWithStart(t)
	machine.RecordCommandOutcome(false, true)
	for range tuning.QuarantineJobs {
		machine.RecordTaskFailure("req-1")
	}
	if machine.Quarantined || !machine.Schedulable(now, time.Minute) {
		t.Error("quarantined although only one job failed")
	}
	for job := range tuning.QuarantineJobs {
		machine.RecordTaskFailure(protocol.JobID(fmt.Sprint("req-", job+1)))
	}
	if !machine.Quarantined || machine.Schedulable(now, time.Minute) {
		t.Error("not quarantined although different jobs failed")
	}
}
