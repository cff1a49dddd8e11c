package leader

import (
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/scheduler"
)

// jobTable holds the open jobs and the jobs that were closed recently.
type jobTable struct {
	open map[protocol.JobID]*jobState
	// closed holds when each job was closed, for as long as a read in flight may still
	// return the job as open (see pruneClosedJobs).
	closed map[protocol.JobID]time.Time
	// lowestGPUPriority is the lowest priority of all jobs with GPUs that were added, -1
	// if there was none. largestGPURequest is the most of each resource that a task of
	// these jobs requests (see scheduler.Snapshot).
	lowestGPUPriority protocol.PriorityLevel
	largestGPURequest scheduler.Resources
}

func newJobTable() jobTable {
	return jobTable{open: map[protocol.JobID]*jobState{}, closed: map[protocol.JobID]time.Time{}, lowestGPUPriority: -1}
}

func (t *jobTable) add(job *jobState) {
	t.open[job.id] = job
	request := job.request()
	if request.GPUs <= 0 {
		return
	}
	t.lowestGPUPriority = max(t.lowestGPUPriority, job.priority())
	t.largestGPURequest = scheduler.Resources{
		Cores: max(t.largestGPURequest.Cores, request.Cores),
		GPUs:  max(t.largestGPURequest.GPUs, request.GPUs),
		MemGB: max(t.largestGPURequest.MemGB, request.MemGB),
	}
}

func (t *jobTable) close(job *jobState, now time.Time) {
	delete(t.open, job.id)
	t.closed[job.id] = now
}

func (t *jobTable) wasClosed(jobID protocol.JobID) bool {
	_, closed := t.closed[jobID]
	return closed
}

// applyOpenRecord applies the record of an open job. The record is that of a new job,
// marks a job as cancelled, or is a version that was applied before.
func (l *Leader) applyOpenRecord(key string, value []byte, version protocol.Version, now time.Time) {
	jobID, _ := records.ParseOpenKey(key)
	var open records.OpenJob
	if err := codec.Unmarshal(value, &open); err != nil {
		l.Log.Error("job record cannot be decoded, at most its cancellation takes effect", "job", jobID, "err", err)
		l.onUnreadableRecord(jobID, value, now)
		return
	}
	if job := l.jobs.open[jobID]; job != nil {
		l.onRecordRewritten(job, &open, version, now)
		return
	}
	if l.jobs.wasClosed(jobID) {
		return // the record was read before the job was closed
	}
	l.addJob(jobID, &open, version, now)
}

// onUnreadableRecord handles an open record that cannot be decoded as a whole. A
// cancellation in it still takes effect, since it was acknowledged to a user.
func (l *Leader) onUnreadableRecord(jobID protocol.JobID, value []byte, now time.Time) {
	if !records.MarkedCancelled(value) {
		return
	}
	if job := l.jobs.open[jobID]; job != nil && !job.cancelled {
		l.cancelJob(job, now)
	}
	l.cancelDependents(jobID)
}

func (l *Leader) onRecordRewritten(job *jobState, open *records.OpenJob, version protocol.Version, now time.Time) {
	if version <= job.openVersion {
		return
	}
	job.openVersion, job.awaitsOpenRecord = version, false
	if open.Cancelled && !job.cancelled {
		l.cancelJob(job, now)
	}
}

func (l *Leader) addJob(jobID protocol.JobID, open *records.OpenJob, version protocol.Version, now time.Time) {
	job := newJob(jobID, open, version, now)
	l.jobs.add(job)
	l.cycle.request()
	l.Log.Debug("job added", "job", jobID, "class", open.Job.Class, "tasks", open.Job.Tasks, "age", now.Sub(job.acceptedAt))
	l.addDependencies(job)
}

// pruneClosedJobs drops the closed jobs that no read in flight can return as open. These
// are the jobs that were closed before the read of the latest applied watch result began
// and before the dependency lookup in flight, if any, began: reads of the same kind follow
// one another, so the result of an earlier read can no longer arrive.
func (l *Leader) pruneClosedJobs() {
	for jobID, closedAt := range l.jobs.closed {
		lookupMayName := l.dependencies.lookupInFlight && !l.dependencies.lookupBegan.After(closedAt)
		if l.lease.confirmedByWatch.After(closedAt) && !lookupMayName {
			delete(l.jobs.closed, jobID)
		}
	}
}
