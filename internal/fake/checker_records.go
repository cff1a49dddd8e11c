package fake

import (
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// runRecordReader reads run records from the key-value store and decodes each version once.
type runRecordReader struct {
	store    *Store
	segments map[string]decodedSegment // by key
}

// decodedSegment is one version of a segment of a run record.
type decodedSegment struct {
	version  protocol.Version
	run      records.RunRecord
	readable bool // the segment was decoded without an error
}

// newRunRecordReader returns a reader of a store's run records.
func newRunRecordReader(store *Store) *runRecordReader {
	return &runRecordReader{store: store, segments: map[string]decodedSegment{}}
}

// segment returns the segment of the job's run record that holds a task: the segment for the
// task's index if that key exists, otherwise the first segment.
func (r *runRecordReader) segment(jobID protocol.JobID, task int) decodedSegment {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	key := records.SegmentKey(jobID, records.SegmentOf(task))
	stored, written := r.store.keys[key]
	if !written {
		key = records.SegmentKey(jobID, 0)
		if stored, written = r.store.keys[key]; !written {
			return decodedSegment{readable: true} // an absent record names no task
		}
	}
	if cached, ok := r.segments[key]; ok && cached.version == stored.version {
		return cached
	}
	segment := decodedSegment{version: stored.version}
	segment.readable = codec.Unmarshal(stored.value, &segment.run) == nil
	r.segments[key] = segment
	return segment
}

// mayContain reports whether the record names the attempt on the machine. A segment that cannot
// be decoded counts as naming the attempt, because it possibly names it.
func (r *runRecordReader) mayContain(task *agentTask, machine string) bool {
	segment := r.segment(task.jobID, task.index)
	if !segment.readable {
		return true
	}
	for _, placement := range segment.run.Placements {
		if placement.Task == task.index && placement.Attempt == task.attempt && placement.Machine == machine {
			return true
		}
	}
	return false
}

// checkRunRecords checks that every task on a machine is named in the run record of its job,
// from before its start until after its exit. The next leader reads only the records, so it
// would never stop a task that none of them names.
func (c *checker) checkRunRecords() {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	for _, machine := range c.env.machines {
		for _, task := range machine.tasks {
			if task.state == protocol.TaskExited || task.reportedUnrecorded || c.runRecords.mayContain(task, machine.id) {
				continue
			}
			task.reportedUnrecorded = true // each task is reported once
			c.addViolation("orphaned: no record names %s/%d try %d (%s) on %s at %v", task.jobID, task.index, task.attempt, task.state, machine.id, time.Now())
		}
	}
}
