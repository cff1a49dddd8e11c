package api

import (
	"context"
	"net/http"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// statusQueries answers users' calls for the status of a job.
type statusQueries struct {
	reader        *jobReader
	resolver      *dependencyResolver
	confirmed     *confirmedOpenJobs
	cancellations *cancellations
	retrier       *outcomeRetrier
}

func (s *statusQueries) status(ctx context.Context, jobID protocol.JobID) userReply {
	if !protocol.ValidJobID(jobID) {
		return noSuchJobReply()
	}
	return s.retrier.retryUntilKnown(ctx, tuning.StatusCallThrottleRetries, func() (userReply, error) {
		record, err := s.readWithDependencies(ctx, jobID)
		if err != nil {
			return userReply{}, err
		}
		if record == nil {
			return noSuchJobReply(), nil
		}
		return jobReply(http.StatusOK, record.status), nil
	})
}

// readWithDependencies reads a job as jobReader.read does, and also checks the job's
// dependencies. If one of them is cancelled, so is the job, and the job's own open record
// is marked as cancelled before the reply is sent. From then on every controller reports
// the job as cancelled, even one that has not read the cancelled dependency.
func (s *statusQueries) readWithDependencies(ctx context.Context, jobID protocol.JobID) (*jobRecord, error) {
	start := time.Now()
	record, err := s.reader.read(ctx, jobID)
	if err != nil || record == nil || !record.isOpen() || record.open.Cancelled {
		return record, err
	}
	if len(record.open.Job.DependsOn) == 0 {
		s.confirmed.confirm(jobID, start)
		return record, nil
	}
	if _, ok := s.confirmed.lastConfirmation(jobID); ok {
		return record, nil
	}
	resolved, err := s.resolver.resolve(ctx, record.open.Job.DependsOn)
	if err != nil {
		return nil, err
	}
	if resolved.state == dependencyCancelled {
		return record, s.cancellations.markCancelled(ctx, record)
	}
	s.confirmed.confirm(jobID, resolved.asOf)
	return record, nil
}
