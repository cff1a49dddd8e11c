package api

import (
	"context"
	"errors"
	"net/http"

	"marblehaven/internal/config"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// cancellations cancels jobs by setting Cancelled in their open records. The leader watches
// these records and stops the tasks of cancelled jobs.
type cancellations struct {
	store        *kvstore.Client
	limits       *config.State
	reader       *jobReader
	confirmed    *confirmedOpenJobs
	acknowledged *acknowledgedCancellations
	retrier      *outcomeRetrier
}

// cancel answers a user's call to cancel a job. The call is idempotent: a job that is
// already cancelled or has a final record keeps its status.
func (c *cancellations) cancel(ctx context.Context, jobID protocol.JobID) userReply {
	if !protocol.ValidJobID(jobID) {
		return noSuchJobReply()
	}
	return c.retrier.retryUntilKnown(ctx, tuning.UserThrottleRetries, func() (userReply, error) {
		record, err := c.reader.read(ctx, jobID)
		switch {
		case err != nil:
			return userReply{}, err
		case record == nil:
			return noSuchJobReply(), nil
		case !record.isOpen() || record.open.Cancelled:
			return jobReply(http.StatusOK, record.status), nil
		case record.unreadable:
			return unavailableReply, nil
		}
		if err := c.markCancelled(ctx, record); err != nil {
			return userReply{}, err
		}
		return jobReply(http.StatusOK, record.status), nil
	})
}

// markCancelled sets Cancelled in a job's open record and then records the acknowledgment.
// If the record has changed since it was read, markCancelled returns ErrOutcomeUnknown, so
// that the retrier makes another attempt, which reads the record again.
func (c *cancellations) markCancelled(ctx context.Context, record *jobRecord) error {
	jobID := record.status.ID
	record.open.Cancelled = true
	if checkRecordSize(record.open, c.limits) != nil {
		// The job was accepted when the store's limits were larger. None of its tasks will
		// start any more, so the fields that only restrict where and when a task may start
		// can be dropped.
		record.open.Job.MachineTypes, record.open.Job.DependsOn = nil, nil
	}
	_, err := c.store.Commit(ctx, protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: records.OpenKey(jobID), Version: record.version}},
		Mutations:     []protocol.Mutation{{Set: records.OpenKey(jobID), Value: record.open}},
	})
	if errors.Is(err, kvstore.ErrConflict) {
		return kvstore.ErrOutcomeUnknown
	}
	if err != nil {
		return err
	}
	c.acknowledged.add(jobID)
	c.confirmed.remove(jobID)
	record.status.Phase = protocol.PhaseCancelled
	return nil
}
