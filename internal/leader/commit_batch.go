package leader

import (
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// commitBatch is one transaction of the leader and what it means once executed.
type commitBatch struct {
	transaction protocol.Transaction
	segments    []segmentWrite
	closed      []jobClosing
	provisioned []*provisioningState // requests that are recorded
	obsolete    []*provisioningState // requests whose records are deleted
	orphans     []orphanedSegment    // deleted
	// maxMutations is how many mutations the transaction may have, and bytes how
	// large it is, in bytes as JSON.
	maxMutations int
	bytes        int
}

// segmentWrite is a segment of a run record in a commit, with what waits for it.
type segmentWrite struct {
	job    *jobState
	number int
	placed []*cluster.Placement // whose starts may be sent once it is written
	done   []int                // tasks that agents may forget once it is written
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

// smallRecordBytes is more than a record of fixed form takes in a transaction, in
// bytes as JSON.
const smallRecordBytes = 400

// fits tells whether some more mutations of so many bytes as JSON fit.
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

// closeJob moves a job from its open to its final record. Segments of its run record
// that do not fit in the transaction are removed later: without an open record nothing
// counts them. That there is no final record yet is a precondition as well, by which a
// conflict tells whether the transaction was executed (kvstore.Client.CommitUntilKnown).
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

// writeSegment writes a segment of a job's run record, encoded in so many bytes as
// JSON.
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
	segment.dirty, segment.holdsStarts = false, false
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

// addObsolete deletes the records of requests whose machines are known otherwise.
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
