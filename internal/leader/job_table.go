package leader

import (
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/scheduler"
)

// jobTable holds the open jobs, and the jobs that were closed lately.
type jobTable struct {
	open map[protocol.JobID]*jobState
	// closed remembers when jobs were closed, for as long as a reading under way may
	// still name them as open (see pruneClosedJobs).
	closed map[protocol.JobID]time.Time
	// gpuPriority is the lowest priority of the jobs with GPUs that were seen, -1
	// without any, and gpuRequest the most that a task of one takes (see
	// scheduler.Snapshot).
	gpuPriority protocol.PriorityLevel
	gpuRequest  scheduler.Resources
}

func newJobTable() jobTable {
	return jobTable{open: map[protocol.JobID]*jobState{}, closed: map[protocol.JobID]time.Time{}, gpuPriority: -1}
}

func (t *jobTable) add(job *jobState) {
	t.open[job.id] = job
	request := job.request()
	if request.GPUs <= 0 {
		return
	}
	t.gpuPriority = max(t.gpuPriority, job.priority())
	t.gpuRequest = scheduler.Resources{
		Cores: max(t.gpuRequest.Cores, request.Cores),
		GPUs:  max(t.gpuRequest.GPUs, request.GPUs),
		MemGB: max(t.gpuRequest.MemGB, request.MemGB),
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

// applyOpenRecord takes in the record of an open job: a new job, a cancellation, or
// what is known already.
func (l *Leader) applyOpenRecord(key string, value []byte, version protocol.Version, now time.Time) {
	jobID, _ := records.ParseOpenKey(key)
	var open records.OpenJob
	if err := codec.Unmarshal(value, &open); err != nil {
		l.Log.Error("unreadable job record, the job is left as it is", "job", jobID, "err", err)
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

// onUnreadableRecord does what can be told from an open record that cannot be read: a
// cancellation is carried out, since the job's user was told of it.
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
	l.Log.Debug("job known", "job", jobID, "class", open.Job.Class, "tasks", open.Job.Tasks, "age", now.Sub(job.acceptedAt))
	l.addDependencies(job)
}

// pruneClosedJobs forgets the closed jobs that no reading under way can name as open: a
// reading begun after a job was closed has been taken in, and readings of the same
// kind come one after another.
func (l *Leader) pruneClosedJobs() {
	for jobID, closedAt := range l.jobs.closed {
		lookupMayName := l.dependencies.lookupInFlight && !l.dependencies.lookupBegan.After(closedAt)
		if l.lease.confirmedByWatch.After(closedAt) && !lookupMayName {
			delete(l.jobs.closed, jobID)
		}
	}
}
