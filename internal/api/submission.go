package api

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/scheduler"
	"marblehaven/internal/tuning"
)

// The reasons to reject a submission, as they are sent to its user.
var (
	errUnknownTeam       = errors.New("unknown team")
	errNoFittingType     = errors.New("a task fits no allowed machine type")
	errAboveQuotaLimit   = errors.New("the job needs more than its team's limit")
	errUnknownDependency = errors.New("field awaits names a job that was never accepted")
)

// submissions checks submitted jobs and accepts them by writing their open records.
type submissions struct {
	config       *config.Config
	store        *kvstore.Client
	machineTypes atomic.Pointer[[]scheduler.MachineType] // nil until setMachineTypes is called
	resolver     *dependencyResolver
	confirmed    *confirmedOpenJobs
	statuses     *statusQueries
	retrier      *outcomeRetrier
}

func (s *submissions) setMachineTypes(types []protocol.MachineType) {
	known := make([]scheduler.MachineType, len(types))
	for i, offered := range types {
		known[i] = scheduler.MachineType{
			Name:     offered.Name,
			Capacity: scheduler.Resources{Cores: offered.Cores, GPUs: offered.GPUs, MemGB: offered.MemGB},
			Zones:    offered.Zones,
		}
	}
	s.machineTypes.Store(&known)
}

func (s *submissions) hasMachineTypes() bool { return s.machineTypes.Load() != nil }

// submit answers the submission of a job. The call is idempotent: a job that was accepted
// before keeps its record, and the reply is its status.
func (s *submissions) submit(ctx context.Context, body []byte) userReply {
	job, err := protocol.DecodeJob(body)
	if err != nil {
		return errorReply(http.StatusBadRequest, err)
	}
	types := s.machineTypes.Load()
	if types == nil {
		return unavailableReply
	}
	if err := s.checkSchedulable(job, *types); err != nil {
		return s.reject(ctx, job.ID, http.StatusUnprocessableEntity, err)
	}
	job.MachineTypes = existingTypes(job.MachineTypes, *types)
	open := records.OpenJob{Job: *job, AcceptedMS: time.Now().UnixMilli()}
	if err := checkRecordSize(open, &s.config.Deployment.State); err != nil {
		return s.reject(ctx, job.ID, http.StatusBadRequest, err)
	}
	return s.retrier.retryUntilKnown(ctx, tuning.UserThrottleRetries, func() (userReply, error) { return s.accept(ctx, open) })
}

// existingTypes returns those of the names that are names of machine types, sorted and
// without duplicates. It drops the others so that a long list of unknown names does not
// make the record too large for the key-value store.
func existingTypes(names []string, types []scheduler.MachineType) []string {
	names = slices.DeleteFunc(names, func(name string) bool {
		return !slices.ContainsFunc(types, func(machineType scheduler.MachineType) bool { return machineType.Name == name })
	})
	slices.Sort(names)
	return slices.Compact(names)
}

// reject answers a submission that cannot be accepted. A job that was accepted before
// stays accepted, even if the machine types or the limits have changed since.
func (s *submissions) reject(ctx context.Context, jobID protocol.JobID, status int, reason error) userReply {
	return s.retrier.retryUntilKnown(ctx, tuning.UserThrottleRetries, func() (userReply, error) {
		record, err := s.statuses.readWithDependencies(ctx, jobID)
		switch {
		case err != nil:
			return userReply{}, err
		case record != nil:
			return jobReply(http.StatusOK, record.status), nil
		}
		return errorReply(status, reason), nil
	})
}

// accept makes one attempt to accept a job: it writes the open record unless the job has
// a record already.
func (s *submissions) accept(ctx context.Context, open records.OpenJob) (userReply, error) {
	jobID := open.Job.ID
	resolved, err := s.resolver.resolve(ctx, open.Job.DependsOn)
	switch {
	case err != nil:
		return userReply{}, err
	case resolved.state == dependencyUnknown:
		return s.reject(ctx, jobID, http.StatusUnprocessableEntity, errUnknownDependency), nil
	}
	// A job whose dependency is cancelled is accepted as cancelled.
	open.Cancelled = resolved.state == dependencyCancelled
	err = s.writeOpenRecord(ctx, open)
	if errors.Is(err, kvstore.ErrConflict) {
		return s.existingJobReply(ctx, jobID)
	}
	if err != nil {
		return userReply{}, err
	}
	if open.Cancelled {
		return jobReply(http.StatusCreated, protocol.JobStatus{ID: jobID, Phase: protocol.PhaseCancelled}), nil
	}
	s.confirmed.confirm(jobID, resolved.asOf)
	return jobReply(http.StatusCreated, protocol.JobStatus{ID: jobID, Phase: protocol.PhaseQueued}), nil
}

// writeOpenRecord writes the open record of a job that has neither an open nor a final
// record.
func (s *submissions) writeOpenRecord(ctx context.Context, open records.OpenJob) error {
	jobID := open.Job.ID
	_, err := s.store.Commit(ctx, protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: records.OpenKey(jobID)}, {Key: records.FinalKey(jobID)}},
		Mutations:     []protocol.Mutation{{Set: records.OpenKey(jobID), Value: open}},
	})
	return err
}

// existingJobReply returns the reply for a job that already has a record: its status.
func (s *submissions) existingJobReply(ctx context.Context, jobID protocol.JobID) (userReply, error) {
	record, err := s.statuses.readWithDependencies(ctx, jobID)
	if err != nil {
		return userReply{}, err
	}
	if record == nil {
		// The preconditions failed, yet no record was found. The retrier makes another
		// attempt, which reads the records again.
		return userReply{}, kvstore.ErrOutcomeUnknown
	}
	return jobReply(http.StatusOK, record.status), nil
}

// checkSchedulable returns an error that says why a job could never run, or nil if it
// could.
func (s *submissions) checkSchedulable(job *protocol.Job, types []scheduler.MachineType) error {
	team := s.config.Team(job.Team)
	if team == nil {
		return errUnknownTeam
	}
	if !fitsAnyType(job, types) {
		return errNoFittingType
	}
	// The tasks of an array may run one after another. The other kinds, gangs and services,
	// need all of their tasks at the same time.
	concurrentTasks := float64(job.Tasks)
	if job.Kind == protocol.KindArray {
		concurrentTasks = 1
	}
	if exceeds(concurrentTasks*job.Cores, team.CoresMax) || exceeds(concurrentTasks*job.GPUs, team.GPUsMax) {
		return errAboveQuotaLimit
	}
	return nil
}

func fitsAnyType(job *protocol.Job, types []scheduler.MachineType) bool {
	for i := range types {
		if scheduler.TypeFits(&types[i], job) {
			return true
		}
	}
	return false
}

// quotaTolerance absorbs rounding errors in sums of decimal fractions. It is relative to
// the limit.
const quotaTolerance = 1e-9

// exceeds reports whether a need exceeds a quota limit. A limit of 0 means that there is
// none.
func exceeds(need, limit float64) bool { return limit > 0 && need > limit*(1+quotaTolerance) }
