// Package api serves users, workers, health checks and volunteers.
package api

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marblehaven/internal/clock"
	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/peer"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/scheduler"
	"marblehaven/internal/tuning"
)

// Users answers users' calls straight at the state service, whoever leads: what
// it says is durable first, and read anew each time.
type Users struct {
	Config *config.Config
	Store  *kvstore.Client
	Log    *slog.Logger

	types         atomic.Pointer[[]scheduler.MachineType]
	acknowledged  acknowledgedJobs
	openJobReads  *openJobs
	sharedReads   *sharedReads
	retries       *retryBudget
	mu            sync.Mutex // guards finals and open
	finals        map[protocol.JobID]protocol.JobStatus
	confirmedOpen map[protocol.JobID]time.Time // see confirmOpen
}

// NewUsers makes the users' side of a node.
func NewUsers(cfg *config.Config, store *kvstore.Client, log *slog.Logger) *Users {
	return &Users{Config: cfg, Store: store, Log: log, acknowledged: newAcknowledgedJobs(time.Now()),
		openJobReads: newOpenJobs(store, dependencyValidity(cfg)), sharedReads: newSharedReads(store, cfg), retries: newRetryBudget(),
		finals: map[protocol.JobID]protocol.JobStatus{}, confirmedOpen: map[protocol.JobID]time.Time{}}
}

// SetTypes tells which machine types there are; before, nothing is accepted.
func (u *Users) SetTypes(types []protocol.MachineType) {
	known := make([]scheduler.MachineType, len(types))
	for i, machineType := range types {
		known[i] = scheduler.MachineType{Name: machineType.Name, Capacity: scheduler.Resources{Cores: machineType.Cores, GPUs: machineType.GPUs, MemGB: machineType.MemGB}, Zones: machineType.Zones}
	}
	u.types.Store(&known)
}

// HasTypes tells whether machine types are known.
func (u *Users) HasTypes() bool { return u.types.Load() != nil }

// Acknowledged names the jobs that users were told are cancelled, and since when
// none is missing.
func (u *Users) Acknowledged() (jobIDs []protocol.JobID, since time.Time) {
	return u.acknowledged.list()
}

// userReply is a user's answer; body is nil where only the status matters.
type userReply struct {
	status int
	body   any
	// storeRefused: the state service does not serve this node; a peer may do.
	storeRefused bool
}

var (
	unavailableReply  = userReply{status: 503}
	storeRefusedReply = userReply{status: 503, storeRefused: true}
)

func errorReply(status int, err error) userReply {
	return userReply{status: status, body: protocol.ErrorReply{Error: err.Error()}}
}

// Handle answers one call.
func (u *Users) Handle(ctx context.Context, operation peer.Operation, jobID protocol.JobID, body []byte) userReply {
	deadline := tuning.UserDeadline
	if operation == peer.OperationStatus {
		deadline = tuning.PollDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	switch operation {
	case peer.OperationSubmit:
		return u.submit(ctx, body)
	case peer.OperationStatus:
		return u.status(ctx, jobID)
	case peer.OperationCancel:
		return u.cancel(ctx, jobID)
	}
	return unavailableReply
}

// UserCall answers a call that a peer passed on.
func (u *Users) UserCall(ctx context.Context, call *peer.UserCall) *peer.UserAnswer {
	reply := u.Handle(ctx, call.Operation, call.JobID, call.Body)
	answer := &peer.UserAnswer{Status: reply.status}
	if reply.body != nil {
		answer.Body, _ = codec.Marshal(reply.body)
	}
	return answer
}

// retryUntilKnown runs one attempt after another until there is a certain answer. Being
// throttled is waited out a few times, within the budget for retries; a refusal is
// passed on at once.
func (u *Users) retryUntilKnown(ctx context.Context, throttleRetries int, attempt func() (userReply, error)) userReply {
	for throttled := 0; ; {
		reply, err := attempt()
		switch {
		case err == nil:
			u.retries.recordSuccess()
			return reply
		case errors.Is(err, kvstore.ErrThrottled):
			if throttled++; throttled > throttleRetries || !u.retries.allowRetry() {
				return unavailableReply
			}
		case errors.Is(err, kvstore.ErrUnavailable):
			return storeRefusedReply
		case errors.Is(err, kvstore.ErrInvalidRequest), errors.Is(err, kvstore.ErrTooLarge):
			u.Log.Error("record refused", "err", err)
			return unavailableReply
		}
		// Otherwise the outcome is unknown: the next try reads before it
		// writes, or its write's guards find out.
		if !clock.Sleep(ctx, tuning.UserRetryPause) {
			return storeRefusedReply
		}
	}
}

func (u *Users) status(ctx context.Context, jobID protocol.JobID) userReply {
	if !protocol.ValidJobID(jobID) {
		return errorReply(404, errors.New("no such job"))
	}
	return u.retryUntilKnown(ctx, tuning.PollThrottleRetries, func() (userReply, error) {
		record, err := u.readCurrent(ctx, jobID)
		if err != nil {
			return userReply{}, err
		}
		if record == nil {
			return errorReply(404, errors.New("no such job")), nil
		}
		return userReply{status: 200, body: record.status}, nil
	})
}

func (u *Users) submit(ctx context.Context, body []byte) userReply {
	job, err := protocol.DecodeJob(body)
	if err != nil {
		return errorReply(400, err)
	}
	types := u.types.Load()
	if types == nil {
		return unavailableReply
	}
	if err := u.checkSchedulable(job, *types); err != nil {
		return u.rejectSubmission(ctx, job.ID, 422, err)
	}
	// Only types that exist are kept: a long list of others must not make the
	// record too large for the state service.
	job.MachineTypes = slices.DeleteFunc(job.MachineTypes, func(name string) bool {
		return !slices.ContainsFunc(*types, func(machineType scheduler.MachineType) bool { return machineType.Name == name })
	})
	slices.Sort(job.MachineTypes)
	job.MachineTypes = slices.Compact(job.MachineTypes)
	open := records.OpenJob{Job: *job, AcceptedMS: time.Now().UnixMilli()}
	if err := u.checkRecordSize(open); err != nil {
		return u.rejectSubmission(ctx, job.ID, 400, err)
	}
	return u.retryUntilKnown(ctx, tuning.UserThrottleRetries, func() (userReply, error) { return u.writeOpenRecord(ctx, open) })
}

// rejectSubmission answers a submission that cannot be accepted. A job that was accepted
// stays accepted, also if the catalog has changed since.
func (u *Users) rejectSubmission(ctx context.Context, jobID protocol.JobID, status int, reason error) userReply {
	return u.retryUntilKnown(ctx, tuning.UserThrottleRetries, func() (userReply, error) {
		record, err := u.readCurrent(ctx, jobID)
		switch {
		case err != nil:
			return userReply{}, err
		case record != nil:
			return userReply{status: 200, body: record.status}, nil
		}
		return errorReply(status, reason), nil
	})
}

// checkRecordSize tells whether a job's record is within the limits that the state service
// will have, so that it can be rewritten at any time.
func (u *Users) checkRecordSize(open records.OpenJob) error {
	open.Cancelled = true // it may become so
	_, size, err := codec.EncodeSized(open)
	if err == nil && size > u.Config.Deployment.State.Smaller().ValueBytes() {
		err = errors.New("the description is too long to be kept")
	}
	return err
}

// writeOpenRecord writes the record of a job, unless the job is known already.
func (u *Users) writeOpenRecord(ctx context.Context, open records.OpenJob) (userReply, error) {
	jobID := open.Job.ID
	state, asOf, err := u.dependencies(ctx, open.Job.DependsOn)
	switch {
	case err != nil:
		return userReply{}, err
	case state == dependencyUnknown:
		return u.rejectSubmission(ctx, jobID, 422, errors.New("field awaits names a job that was never accepted")), nil
	}
	open.Cancelled = state == dependencyCancelled
	_, err = u.Store.Commit(ctx, protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: records.OpenKey(jobID)}, {Key: records.FinalKey(jobID)}},
		Mutations:     []protocol.Mutation{{Set: records.OpenKey(jobID), Value: open}},
	})
	if err == nil {
		phase := protocol.PhaseQueued
		if open.Cancelled {
			phase = protocol.PhaseCancelled
		} else {
			u.confirmOpen(jobID, asOf)
		}
		return userReply{status: 201, body: protocol.JobStatus{ID: jobID, Phase: phase}}, nil
	}
	if !errors.Is(err, kvstore.ErrConflict) {
		return userReply{}, err
	}
	record, err := u.readCurrent(ctx, jobID)
	if err != nil {
		return userReply{}, err
	}
	if record == nil {
		return userReply{}, kvstore.ErrOutcomeUnknown // guards failed, yet nothing is there: look again
	}
	return userReply{status: 200, body: record.status}, nil
}

// checkSchedulable tells why a job can never run.
func (u *Users) checkSchedulable(job *protocol.Job, types []scheduler.MachineType) error {
	team := u.Config.Team(job.Team)
	if team == nil {
		return errors.New("unknown team")
	}
	fits := false
	for i := range types {
		fits = fits || scheduler.TypeFits(&types[i], job)
	}
	if !fits {
		return errors.New("a task fits no allowed machine type")
	}
	copies := float64(job.Tasks)
	if job.Kind == protocol.KindArray {
		copies = 1
	}
	if exceeds(copies*job.Cores, team.CoresMax) || exceeds(copies*job.GPUs, team.GPUsMax) {
		return errors.New("the job needs more than its team's limit")
	}
	return nil
}

// exceeds compares with a limit, of which 0 is none.
func exceeds(need, limit float64) bool { return limit > 0 && need > limit*(1+1e-9) }

func (u *Users) cancel(ctx context.Context, jobID protocol.JobID) userReply {
	if !protocol.ValidJobID(jobID) {
		return errorReply(404, errors.New("no such job"))
	}
	return u.retryUntilKnown(ctx, tuning.UserThrottleRetries, func() (userReply, error) {
		record, err := u.readJob(ctx, jobID)
		switch {
		case err != nil:
			return userReply{}, err
		case record == nil:
			return errorReply(404, errors.New("no such job")), nil
		case record.version == 0 || record.open.Cancelled:
			return userReply{status: 200, body: record.status}, nil
		case record.unreadable:
			return unavailableReply, nil
		}
		if err := u.markCancelled(ctx, record); err != nil {
			return userReply{}, err
		}
		return userReply{status: 200, body: record.status}, nil
	})
}

// markCancelled writes into a job's open record that it is cancelled.
func (u *Users) markCancelled(ctx context.Context, record *jobRecord) error {
	jobID := record.status.ID
	record.open.Cancelled = true
	if u.checkRecordSize(record.open) != nil {
		// Accepted under larger limits. Nothing of it starts any more, so what
		// only says where and when it may start is not needed.
		record.open.Job.MachineTypes, record.open.Job.DependsOn = nil, nil
	}
	_, err := u.Store.Commit(ctx, protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: records.OpenKey(jobID), Version: record.version}},
		Mutations:     []protocol.Mutation{{Set: records.OpenKey(jobID), Value: record.open}},
	})
	if errors.Is(err, kvstore.ErrConflict) {
		return kvstore.ErrOutcomeUnknown // it changed meanwhile: look again
	}
	if err != nil {
		return err
	}
	u.acknowledged.add(jobID)
	u.forgetOpen(jobID)
	record.status.Phase = protocol.PhaseCancelled
	return nil
}
