package fake

import (
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// recordChecker reads run records in the state service, decoding each version once.
type recordChecker struct {
	state    *Store
	segments map[string]decodedSegment // by key
}

// decodedSegment is a version of a piece of a run record.
type decodedSegment struct {
	version  protocol.Version
	run      records.RunRecord
	readable bool
}

func newRecordChecker(state *Store) *recordChecker {
	return &recordChecker{state: state, segments: map[string]decodedSegment{}}
}

// segment returns the piece that counts for a task: its own if that was written,
// otherwise the first of its job.
func (r *recordChecker) segment(jobID protocol.JobID, task int) decodedSegment {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	key := records.SegmentKey(jobID, records.SegmentOf(task))
	stored, written := r.state.keys[key]
	if !written {
		key = records.SegmentKey(jobID, 0)
		if stored, written = r.state.keys[key]; !written {
			return decodedSegment{readable: true} // it names nothing
		}
	}
	if known, ok := r.segments[key]; ok && known.version == stored.version {
		return known
	}
	piece := decodedSegment{version: stored.version}
	piece.readable = codec.Unmarshal(stored.value, &piece.run) == nil
	r.segments[key] = piece
	return piece
}

// mayName tells whether the records name an attempt of a task on a machine, or
// cannot be read.
func (r *recordChecker) mayName(task *agentTask, machine string) bool {
	piece := r.segment(task.jobID, task.index)
	if !piece.readable {
		return true
	}
	for _, p := range piece.run.Placements {
		if p.Task == task.index && p.Attempt == task.attempt && p.Machine == machine {
			return true
		}
	}
	return false
}

// checkRecorded judges that every task on a machine is in the run record of its job,
// from before its start until it has surely ended: what no record names, the next
// leader knows nothing of.
func (w *Environment) checkRecorded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, machine := range w.machines {
		for _, task := range machine.tasks {
			if task.state == protocol.TaskExited || task.unrecorded || w.records.mayName(task, machine.id) {
				continue
			}
			task.unrecorded = true // told once
			w.violate("orphaned: no record names %s/%d try %d (%s) on %s at %v", task.jobID, task.index, task.attempt, task.state, machine.id, time.Now())
		}
	}
}
