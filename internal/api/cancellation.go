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

// cancellations cancels jobs by a mark in their open records. The leader sees the mark
// and stops the tasks.
type cancellations struct {
	store        *kvstore.Client
	limits       *config.State
	reader       *jobReader
	confirmed    *confirmedOpenJobs
	acknowledged *acknowledgedCancellations
	retrier      *outcomeRetrier
}

// cancel answers a user's cancellation of a job. It is idempotent: a job that is
// cancelled or has a final record keeps its status.
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

// markCancelled writes the cancellation into a job's open record, then acknowledges it. The
// outcome is unknown if the record has changed since it was read.
func (c *cancellations) markCancelled(ctx context.Context, record *jobRecord) error {
	jobID := record.status.ID
	record.open.Cancelled = true
	if checkRecordSize(record.open, c.limits) != nil {
		// The job was accepted under larger limits. No task of it starts any more, so
		// the fields that only restrict where and when it may start can be dropped.
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
