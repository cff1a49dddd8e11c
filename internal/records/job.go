package records

import (
	"github.com/vmihailenco/msgpack/v5"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
)

// OpenJob is the record of a job that was accepted and is not finished.
type OpenJob struct {
	Job        protocol.Job `msgpack:"j"`
	AcceptedMS int64        `msgpack:"a"` // time of acceptance, in Unix milliseconds
	Cancelled  bool         `msgpack:"c,omitempty"`
}

// MarkedCancelled reports whether an encoded OpenJob is marked as cancelled. It decodes the
// mark alone, because a cancellation must take effect even if the rest of the record cannot be
// decoded.
func MarkedCancelled(value []byte) bool {
	var fields map[string]msgpack.RawMessage
	if codec.Unmarshal(value, &fields) != nil {
		return false
	}
	var cancelled bool
	return codec.Unmarshal(fields["c"], &cancelled) == nil && cancelled
}

// FinalRecord is the record of a finished job. It is never changed or deleted.
type FinalRecord struct {
	Phase     protocol.JobPhase `msgpack:"p"`
	TasksDone int               `msgpack:"n"`
	// ClosedMS is when the job was finished, in Unix milliseconds. The waiting times of jobs
	// that depend on this job count from that time. ClosedMS is 0 in records of earlier versions.
	ClosedMS int64 `msgpack:"a,omitempty"`
}
