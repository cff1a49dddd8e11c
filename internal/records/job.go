package records

import (
	"github.com/vmihailenco/msgpack/v5"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
)

// OpenJob is an accepted job that is not over.
type OpenJob struct {
	Job        protocol.Job `msgpack:"j"`
	AcceptedMS int64        `msgpack:"a"` // time of day of acceptance
	Cancelled  bool         `msgpack:"c,omitempty"`
}

// MarkedCancelled looks for the mark of a cancellation in an open record that
// cannot be read as a whole.
func MarkedCancelled(value []byte) bool {
	var m map[string]msgpack.RawMessage
	var c bool
	return codec.Unmarshal(value, &m) == nil && codec.Unmarshal(m["c"], &c) == nil && c
}

// FinalRecord is the last word on a job.
type FinalRecord struct {
	Phase     protocol.JobPhase `msgpack:"p"`
	TasksDone int               `msgpack:"n"`
	// ClosedMS is the time of day when the job was closed; the waits of jobs that
	// depend on it count from then. 0 in records of earlier versions.
	ClosedMS int64 `msgpack:"a,omitempty"`
}
