package leader

import (
	"testing"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// A read of the open jobs that began before a job was closed may arrive at any time
// afterwards. It does not open the job again: each write for the job would fail, and with
// it all others of the same commit. Once a later read has been applied, the closed job
// need not be remembered.
func TestClosedJobStaysClosed(t *testing.T) {
	leader, now := newLoadedLeader(0, 1)
	job := leader.jobs.open["req-000000"]
	raw, _ := codec.Marshal(records.OpenJob{AcceptedMS: now.UnixMilli(), Job: job.spec})
	record := protocol.KeyValue{Key: records.OpenKey(job.id), Value: raw, Version: job.openVersion}
	staleRead := watchResult{events: []protocol.WatchEvent{{Set: record.Key, Value: raw, Version: record.Version}}, asOf: now.Add(time.Second)}
	leader.dependencies.lookupInFlight, leader.dependencies.lookupBegan = true, now.Add(time.Second)
	leader.onJobClosed(jobClosing{job, records.FinalRecord{Phase: protocol.PhaseDone, ClosedMS: now.UnixMilli()}}, now.Add(2*time.Second))
	later := now.Add(2 * tuning.RereadInterval)
	leader.pruneClosedJobs()
	leader.onWatchResult(staleRead, later)
	leader.pruneClosedJobs()
	leader.onWatchResult(watchResult{asOf: now.Add(3 * time.Second)}, later)
	leader.pruneClosedJobs()
	leader.onDependencyLookup(dependencyLookup{open: []protocol.KeyValue{record}}, later)
	if len(leader.jobs.open) > 0 {
		t.Error("a closed job was opened again")
	}
	if leader.pruneClosedJobs(); len(leader.jobs.closed) > 0 {
		t.Error("a closed job is remembered although no read in flight can return it")
	}
}
