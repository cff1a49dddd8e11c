// Package api serves the HTTP interface of a controller: users' calls, agents'
// heartbeats, health checks and the status page.
//
// A user's call is answered from the key-value store by the controller that receives it,
// leader or not: Users holds the parts that do this. Everything that a reply reports is
// stored durably before the reply is sent. A heartbeat is answered by the local leader or
// redirected.
//
// The package owns the connections made to this process, the caches of what users' calls
// read, the retry budget and the list of cancellations that this process has acknowledged.
// It must never start or stop a task, nor write a run record or a final record: only the
// leader does so.
package api

import (
	"context"
	"log/slog"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/peer"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// Users answers users' calls from the key-value store, whichever controller leads.
type Users struct {
	acknowledged  *acknowledgedCancellations
	submissions   *submissions
	cancellations *cancellations
	statuses      *statusQueries
}

// NewUsers creates the part of a controller that answers users' calls.
func NewUsers(cfg *config.Config, store *kvstore.Client, log *slog.Logger) *Users {
	validFor := dependencyValidity(cfg)
	acknowledged := newAcknowledgedCancellations(time.Now())
	confirmed := newConfirmedOpenJobs(validFor)
	retrier := &outcomeRetrier{budget: newRetryBudget(), log: log}
	reader := &jobReader{
		store:         store,
		shared:        newSharedReads(store, cfg),
		finalStatuses: newFinalStatuses(),
		acknowledged:  acknowledged,
		log:           log,
	}
	resolver := &dependencyResolver{
		reader:    reader,
		listings:  newOpenJobListings(store, validFor),
		confirmed: confirmed,
		log:       log,
	}
	cancellations := &cancellations{
		store:        store,
		limits:       &cfg.Deployment.State,
		reader:       reader,
		confirmed:    confirmed,
		acknowledged: acknowledged,
		retrier:      retrier,
	}
	statuses := &statusQueries{
		reader:        reader,
		resolver:      resolver,
		confirmed:     confirmed,
		cancellations: cancellations,
		retrier:       retrier,
	}
	submissions := &submissions{
		config:    cfg,
		store:     store,
		resolver:  resolver,
		confirmed: confirmed,
		statuses:  statuses,
		retrier:   retrier,
	}
	return &Users{acknowledged: acknowledged, submissions: submissions, cancellations: cancellations, statuses: statuses}
}

// SetMachineTypes sets the machine types of the cloud. Before the first call every valid
// submission is answered with 503.
func (u *Users) SetMachineTypes(types []protocol.MachineType) { u.submissions.setMachineTypes(types) }

// HasMachineTypes reports whether the machine types have been set.
func (u *Users) HasMachineTypes() bool { return u.submissions.hasMachineTypes() }

// AcknowledgedCancellations returns the jobs whose cancellation was acknowledged to users,
// and the time since which the list is complete.
func (u *Users) AcknowledgedCancellations() (jobIDs []protocol.JobID, since time.Time) {
	return u.acknowledged.list()
}

// UserCall answers a call that a peer forwarded.
func (u *Users) UserCall(ctx context.Context, call *peer.UserCall) *peer.UserAnswer {
	reply := u.answer(ctx, call)
	return &peer.UserAnswer{Status: reply.status, Body: reply.body}
}

// answer answers one call within the deadline of its operation.
func (u *Users) answer(ctx context.Context, call *peer.UserCall) userReply {
	deadline := tuning.UserDeadline
	if call.Operation == peer.OperationStatus {
		deadline = tuning.StatusCallDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	switch call.Operation {
	case peer.OperationSubmit:
		return u.submissions.submit(ctx, call.Body)
	case peer.OperationStatus:
		return u.statuses.status(ctx, call.JobID)
	case peer.OperationCancel:
		return u.cancellations.cancel(ctx, call.JobID)
	}
	return unavailableReply
}
