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
func NewUsers(c *config.Config, store *kvstore.Client, log *slog.Logger) *Users {
	return &Users{Config: c, Store: store, Log: log, acknowledged: newAcknowledgedJobs(time.Now()),
		openJobReads: newOpenJobs(store, dependencyCheck(c)), sharedReads: newSharedReads(store, c), retries: newRetryBudget(),
		finals: map[protocol.JobID]protocol.JobStatus{}, confirmedOpen: map[protocol.JobID]time.Time{}}
}

// SetTypes tells which machine types there are; before, nothing is accepted.
func (u *Users) SetTypes(types []protocol.MachineType) {
	out := make([]scheduler.MachineType, len(types))
	for i, t := range types {
		out[i] = scheduler.MachineType{Name: t.Name, Capacity: scheduler.Resources{Cores: t.Cores, GPUs: t.GPUs, MemGB: t.MemGB}, Zones: t.Zones}
	}
	u.types.Store(&out)
}

// HasTypes tells whether machine types are known.
func (u *Users) HasTypes() bool { return u.types.Load() != nil }

// Acknowledged names the jobs that users were told are cancelled, and since when
// none is missing.
func (u *Users) Acknowledged() (jobIDs []protocol.JobID, since time.Time) {
	return u.acknowledged.list()
}

// answer is a user's answer; body is nil where only the status matters.
type answer struct {
	status int
	body   any
	// refused: the state service does not serve this node; a peer may do.
	refused bool
}

var (
	busy    = answer{status: 503}
	refused = answer{status: 503, refused: true}
)

func failure(status int, err error) answer {
	return answer{status: status, body: protocol.ErrorReply{Error: err.Error()}}
}

// Handle answers one call.
func (u *Users) Handle(ctx context.Context, operation peer.Operation, jobID protocol.JobID, body []byte) answer {
	limit := tuning.UserDeadline
	if operation == peer.OperationStatus {
		limit = tuning.PollDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	switch operation {
	case peer.OperationSubmit:
		return u.submit(ctx, body)
	case peer.OperationStatus:
		return u.status(ctx, jobID)
	case peer.OperationCancel:
		return u.cancel(ctx, jobID)
	}
	return busy
}

// UserCall answers a call that a peer passed on.
func (u *Users) UserCall(ctx context.Context, c *peer.UserCall) *peer.UserAnswer {
	a := u.Handle(ctx, c.Operation, c.JobID, c.Body)
	out := &peer.UserAnswer{Status: a.status}
	if a.body != nil {
		out.Body, _ = codec.Marshal(a.body)
	}
	return out
}

// retryUntilKnown runs one attempt after another until there is a certain answer. Being
// throttled is waited out a few times, within the budget for retries; a refusal is
// passed on at once.
func (u *Users) retryUntilKnown(ctx context.Context, tries int, try func() (answer, error)) answer {
	for throttled := 0; ; {
		a, err := try()
		switch {
		case err == nil:
			u.retries.succeeded()
			return a
		case errors.Is(err, kvstore.ErrThrottled):
			if throttled++; throttled > tries || !u.retries.take() {
				return busy
			}
		case errors.Is(err, kvstore.ErrUnavailable):
			return refused
		case errors.Is(err, kvstore.ErrInvalidRequest), errors.Is(err, kvstore.ErrTooLarge):
			u.Log.Error("record refused", "err", err)
			return busy
		}
		// Otherwise the outcome is unknown: the next try reads before it
		// writes, or its write's guards find out.
		if !clock.Sleep(ctx, tuning.UserRetryPause) {
			return refused
		}
	}
}

func (u *Users) status(ctx context.Context, jobID protocol.JobID) answer {
	if !protocol.ValidJobID(jobID) {
		return failure(404, errors.New("no such job"))
	}
	return u.retryUntilKnown(ctx, tuning.PollThrottleRetries, func() (answer, error) {
		record, err := u.current(ctx, jobID)
		if err != nil {
			return answer{}, err
		}
		if record == nil {
			return failure(404, errors.New("no such job")), nil
		}
		return answer{status: 200, body: record.status}, nil
	})
}

func (u *Users) submit(ctx context.Context, body []byte) answer {
	job, err := protocol.DecodeJob(body)
	if err != nil {
		return failure(400, err)
	}
	types := u.types.Load()
	if types == nil {
		return busy
	}
	if err := u.checkRunnable(job, *types); err != nil {
		return u.refuse(ctx, job.ID, 422, err)
	}
	// Only types that exist are kept: a long list of others must not make the
	// record too large for the state service.
	job.MachineTypes = slices.DeleteFunc(job.MachineTypes, func(name string) bool {
		return !slices.ContainsFunc(*types, func(t scheduler.MachineType) bool { return t.Name == name })
	})
	slices.Sort(job.MachineTypes)
	job.MachineTypes = slices.Compact(job.MachineTypes)
	open := records.OpenJob{Job: *job, AcceptedMS: time.Now().UnixMilli()}
	if err := u.checkRecordSize(open); err != nil {
		return u.refuse(ctx, job.ID, 400, err)
	}
	return u.retryUntilKnown(ctx, tuning.UserThrottleRetries, func() (answer, error) { return u.accept(ctx, open) })
}

// refuse answers a submission that cannot be accepted. A job that was accepted
// stays accepted, also if the catalog has changed since.
func (u *Users) refuse(ctx context.Context, jobID protocol.JobID, status int, reason error) answer {
	return u.retryUntilKnown(ctx, tuning.UserThrottleRetries, func() (answer, error) {
		record, err := u.current(ctx, jobID)
		switch {
		case err != nil:
			return answer{}, err
		case record != nil:
			return answer{status: 200, body: record.status}, nil
		}
		return failure(status, reason), nil
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

// accept writes the record of a job, unless the job is known already.
func (u *Users) accept(ctx context.Context, open records.OpenJob) (answer, error) {
	jobID := open.Job.ID
	state, asOf, err := u.dependencies(ctx, open.Job.DependsOn)
	switch {
	case err != nil:
		return answer{}, err
	case state == dependencyUnknown:
		return u.refuse(ctx, jobID, 422, errors.New("field awaits names a job that was never accepted")), nil
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
		return answer{status: 201, body: protocol.JobStatus{ID: jobID, Phase: phase}}, nil
	}
	if !errors.Is(err, kvstore.ErrConflict) {
		return answer{}, err
	}
	record, err := u.current(ctx, jobID)
	if err != nil {
		return answer{}, err
	}
	if record == nil {
		return answer{}, kvstore.ErrOutcomeUnknown // guards failed, yet nothing is there: look again
	}
	return answer{status: 200, body: record.status}, nil
}

// checkRunnable tells why a job can never run.
func (u *Users) checkRunnable(job *protocol.Job, types []scheduler.MachineType) error {
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
	n := float64(job.Tasks)
	if job.Kind == protocol.KindArray {
		n = 1
	}
	if exceeds(n*job.Cores, team.CoresMax) || exceeds(n*job.GPUs, team.GPUsMax) {
		return errors.New("the job needs more than its team's limit")
	}
	return nil
}

// exceeds compares with a limit, of which 0 is none.
func exceeds(need, limit float64) bool { return limit > 0 && need > limit*(1+1e-9) }

func (u *Users) cancel(ctx context.Context, jobID protocol.JobID) answer {
	if !protocol.ValidJobID(jobID) {
		return failure(404, errors.New("no such job"))
	}
	return u.retryUntilKnown(ctx, tuning.UserThrottleRetries, func() (answer, error) {
		record, err := u.find(ctx, jobID)
		switch {
		case err != nil:
			return answer{}, err
		case record == nil:
			return failure(404, errors.New("no such job")), nil
		case record.version == 0 || record.open.Cancelled:
			return answer{status: 200, body: record.status}, nil
		case record.unreadable:
			return busy, nil
		}
		if err := u.markCancelled(ctx, record); err != nil {
			return answer{}, err
		}
		return answer{status: 200, body: record.status}, nil
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
