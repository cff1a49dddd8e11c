package leader

import (
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// commitBatch is one transaction of the leader, with the changes of state that follow
// once it is executed.
type commitBatch struct {
	transaction protocol.Transaction
	segments    []segmentWrite
	closed      []jobClosing
	provisioned []*provisioningState // requests that the transaction records
	obsolete    []*provisioningState // requests whose records it deletes
	orphans     []orphanedSegment    // segments that it deletes
	// maxMutations is how many mutations the transaction may have. bytes is the size of
	// the transaction in bytes as JSON.
	maxMutations int
	bytes        int
}

// segmentWrite is the write of a segment of a run record, with the placements and the
// completed tasks that the write records for the first time.
type segmentWrite struct {
	job    *jobState
	number int
	placed []*cluster.Placement // their starts may be sent once the segment is written
	done   []int                // agents may forget these tasks once the segment is written
}

// jobClosing is a job that a commit moves to its final record.
type jobClosing struct {
	job   *jobState
	final records.FinalRecord
}

// orphanedSegment is a segment of the run record of a job that is closed.
type orphanedSegment struct {
	key     string
	version protocol.Version
}

// smallRecordBytes is an upper bound for the size of a final record, a provisioning request
// or a deletion in a transaction, in bytes as JSON.
const smallRecordBytes = 400

// fits reports whether the batch has room for more mutations with the given total size,
// in bytes as JSON.
func (b *commitBatch) fits(mutations, bytes int) bool {
	return len(b.transaction.Mutations)+mutations <= b.maxMutations && b.bytes+bytes <= tuning.CommitBytes
}

func (b *commitBatch) precondition(key string, version protocol.Version) {
	b.transaction.Preconditions = append(b.transaction.Preconditions, protocol.Precondition{Key: key, Version: version})
}

func (b *commitBatch) put(key string, value any, bytes int) {
	b.transaction.Mutations = append(b.transaction.Mutations, protocol.Mutation{Set: key, Value: value})
	b.bytes += bytes
}

func (b *commitBatch) remove(key string) {
	b.transaction.Mutations = append(b.transaction.Mutations, protocol.Mutation{Delete: key})
	b.bytes += smallRecordBytes
}

// closeJob replaces the open record of a job by its final record. Segments of the run
// record that do not fit in the transaction are deleted later: without an open record
// they have no effect. The transaction also requires that no final record exists yet. When
// a repeated commit conflicts, this precondition shows whether an earlier attempt was
// executed: if so, the final record exists and the precondition fails; if the precondition
// holds, no attempt was executed (see kvstore.Client.CommitUntilKnown).
func (b *commitBatch) closeJob(job *jobState, now time.Time) {
	if !b.fits(closeMutations+1, closeMutations*smallRecordBytes) {
		return
	}
	final := records.FinalRecord{Phase: job.closingPhase(), TasksDone: job.doneCount, ClosedMS: now.UnixMilli()}
	b.precondition(records.OpenKey(job.id), job.openVersion)
	b.remove(records.OpenKey(job.id))
	b.precondition(records.FinalKey(job.id), 0)
	b.put(records.FinalKey(job.id), final, smallRecordBytes)
	for number := range job.segments {
		segment := &job.segments[number]
		if segment.version == 0 || !b.fits(1, smallRecordBytes) {
			continue
		}
		key := records.SegmentKey(job.id, number)
		b.precondition(key, segment.version)
		b.remove(key)
		segment.removed = true
	}
	b.closed = append(b.closed, jobClosing{job, final})
}

// writeSegment adds the write of a segment of a job's run record, whose encoded size is
// given in bytes as JSON.
func (b *commitBatch) writeSegment(job *jobState, number int, record any, bytes int) {
	write := segmentWrite{job: job, number: number}
	for _, placement := range job.placements {
		if !placement.Recorded && job.segmentHolds(number, placement.Task) {
			write.placed = append(write.placed, placement)
		}
	}
	for task := range job.unrecordedDone {
		if job.segmentHolds(number, task) {
			write.done = append(write.done, task)
		}
	}
	segment := job.segment(number)
	key := records.SegmentKey(job.id, number)
	b.precondition(records.OpenKey(job.id), job.openVersion)
	b.precondition(key, segment.version)
	b.put(key, record, bytes)
	b.segments = append(b.segments, write)
	segment.dirty, segment.startsWait = false, false
}

// addProvisioning records requests that are not recorded yet.
func (b *commitBatch) addProvisioning(requests map[string]*provisioningState) {
	for _, request := range requests {
		if !request.recorded && b.fits(1, smallRecordBytes) {
			b.put(records.ProvisioningKey(request.ID), request.ProvisioningRequest, smallRecordBytes)
			b.provisioned = append(b.provisioned, request)
		}
	}
}

// addObsolete deletes the records of obsolete requests. A request is obsolete if the cloud
// has rejected it, or if a new leader would find all its machines in the machine list or by
// their heartbeats.
func (b *commitBatch) addObsolete(requests map[string]*provisioningState) {
	for _, request := range requests {
		if request.recorded && request.obsolete && b.fits(1, smallRecordBytes) {
			b.remove(records.ProvisioningKey(request.ID))
			b.obsolete = append(b.obsolete, request)
		}
	}
}

// addOrphans deletes segments of jobs that were closed in an earlier commit.
func (b *commitBatch) addOrphans(orphans []orphanedSegment) {
	for _, orphan := range orphans {
		if !b.fits(1, smallRecordBytes) {
			return
		}
		b.precondition(orphan.key, orphan.version)
		b.remove(orphan.key)
		b.orphans = append(b.orphans, orphan)
	}
}
