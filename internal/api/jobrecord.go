package api

import (
	"errors"

	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

var (
	// errUnreadable means that a record exists but cannot be decoded.
	errUnreadable = errors.New("unreadable record")
	// errRecordTooLarge refuses a job whose record would exceed the store's value limit.
	errRecordTooLarge = errors.New("the description is too long to be kept")
)

// jobRecord is a job as its records in the key-value store describe it.
type jobRecord struct {
	status     protocol.JobStatus
	open       records.OpenJob
	version    protocol.Version // of the open record; 0: the job has a final record
	unreadable bool             // the open record cannot be decoded, so it cannot be rewritten
}

// isOpen tells whether the job has an open record.
func (r *jobRecord) isOpen() bool { return r.version != 0 }

// listedVersion stands for the version of an open record that was read in a listing,
// which is not rewritten.
const listedVersion = 1

// listedJobRecord is the record of an open job from a listing. The phase is the one that
// the open record alone tells.
func listedJobRecord(jobID protocol.JobID, open *records.OpenJob) *jobRecord {
	status := protocol.JobStatus{ID: jobID, Phase: protocol.PhaseQueued}
	if open.Cancelled {
		status.Phase = protocol.PhaseCancelled
	}
	return &jobRecord{version: listedVersion, open: *open, status: status}
}

// checkRecordSize checks an open record against the present and the announced limits of
// the key-value store, so that the record can be rewritten at any time.
func checkRecordSize(open records.OpenJob, limits *config.State) error {
	open.Cancelled = true // the job may be cancelled later, which makes the record longer
	_, size, err := codec.EncodeSized(open)
	if err != nil {
		return err
	}
	if size > limits.Smaller().ValueBytes() {
		return errRecordTooLarge
	}
	return nil
}
