package leader

import (
	"testing"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// A reading of the open jobs that began before a job was closed may arrive at any time
// after. The job is not opened again: each write for it would fail, and with it all
// others of the same commit. Once a later reading is in, nothing need be remembered.
func TestClosedJobStaysClosed(t *testing.T) {
	leader, now := newLoadedLeader(0, 1)
	job := leader.jobs.open["req-000000"]
	raw, _ := codec.Marshal(records.OpenJob{AcceptedMS: now.UnixMilli(), Job: job.spec})
	record := protocol.KeyValue{Key: records.OpenKey(job.id), Value: raw, Version: job.openVersion}
	reading := watchResult{events: []protocol.WatchEvent{{Set: record.Key, Value: raw, Version: record.Version}}, asOf: now.Add(time.Second)}
	leader.dependencies.lookupInFlight, leader.dependencies.lookupBegan = true, now.Add(time.Second)
	leader.onJobClosed(jobClosing{job, records.FinalRecord{Phase: protocol.PhaseDone, ClosedMS: now.UnixMilli()}}, now.Add(2*time.Second))
	long := now.Add(2 * tuning.RereadInterval)
	leader.pruneClosedJobs()
	leader.onWatchResult(reading, long)
	leader.pruneClosedJobs()
	leader.onWatchResult(watchResult{asOf: now.Add(3 * time.Second)}, long)
	leader.pruneClosedJobs()
	leader.onDependencyLookup(dependencyLookup{open: []protocol.KeyValue{record}}, long)
	if len(leader.jobs.open) > 0 {
		t.Error("a closed job was opened again")
	}
	if leader.pruneClosedJobs(); len(leader.jobs.closed) > 0 {
		t.Error("a closed job is remembered though no reading can name it")
	}
}
