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
	// errRecordTooLarge means that a job's record would exceed the store's limit on the
	// size of a value.
	errRecordTooLarge = errors.New("the description is too long to be kept")
)

// jobRecord is the state of a job according to its records in the key-value store.
type jobRecord struct {
	status     protocol.JobStatus
	open       records.OpenJob
	version    protocol.Version // of the open record; 0 if the job has a final record instead
	unreadable bool             // the open record cannot be decoded, so it cannot be rewritten
}

// isOpen reports whether the job has an open record.
func (r *jobRecord) isOpen() bool { return r.version != 0 }

// listedVersion is the placeholder for the version of an open record from a listing. Such a
// record is never rewritten, so its version only has to differ from 0.
const listedVersion = 1

// listedJobRecord returns the jobRecord of an open job from a listing. Its phase is queued
// or cancelled, since the listing holds no run records.
func listedJobRecord(jobID protocol.JobID, open *records.OpenJob) *jobRecord {
	status := protocol.JobStatus{ID: jobID, Phase: protocol.PhaseQueued}
	if open.Cancelled {
		status.Phase = protocol.PhaseCancelled
	}
	return &jobRecord{version: listedVersion, open: *open, status: status}
}

// checkRecordSize returns an error if an open record exceeds the present or the announced
// value limit of the key-value store. A record within both limits can be rewritten before
// and after the limits change.
func checkRecordSize(open records.OpenJob, limits *config.State) error {
	open.Cancelled = true // the job may be cancelled later, which makes the record longer
	_, size, err := codec.EncodeSized(open)
	if err != nil {
		return err
	}
	if size > limits.StricterLimits().ValueBytes() {
		return errRecordTooLarge
	}
	return nil
}
