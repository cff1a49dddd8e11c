// Package leader decides what runs where while its controller holds a term. One
// actor owns everything that the leader knows: open jobs, machines and provisioning
// requests. It is spoken to by messages only, and its helpers (calls of the key-value
// store, the cloud and the agents) post their results as messages.
//
// The order of effects is what keeps the promises to users through every failure:
//
//   - A start is recorded in the job's run record before it is sent.
//   - A task is released for another start only on proof that it has ended.
//   - A completion is recorded before the agent may forget the attempt.
//   - A provisioning request is recorded before the cloud is called.
//   - Every write is conditional on the term, so a deposed leader writes nothing.
//
// The package must never act on the clock alone: without proof that the term is still
// held (leaderLease) it starts nothing and answers no heartbeat.
package leader

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"marblehaven/internal/agent"
	"marblehaven/internal/cloud"
	"marblehaven/internal/config"
	"marblehaven/internal/election"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// Options is what a leader works with.
type Options struct {
	Config *config.Config
	Store  *kvstore.Client
	Cloud  *cloud.Client
	Agents *agent.Client
	Log    *slog.Logger
	// OnNewerTerm tells the election of a term higher than the leader's.
	OnNewerTerm func(newer protocol.Term)
	// Resign gives up the term for another controller to take.
	Resign func()
	// RedirectedHeartbeats returns how many heartbeats the other controllers have redirected
	// lately.
	RedirectedHeartbeats func() int
	// AcknowledgedCancellations returns the jobs of which a controller has told a user that they
	// are cancelled, and the time up to which the list is complete for
	// acknowledgments after since; ok is false if a controller cannot tell.
	AcknowledgedCancellations func(since time.Time) (asOf time.Time, jobIDs []protocol.JobID, ok bool)
}

// ErrMayNotAnswer is returned for a heartbeat that the leader may not answer now: its
// lease has expired, the agent knows a newer term, or the inbox is full.
var ErrMayNotAnswer = errors.New("the leader may not answer heartbeats now")

// Leader is the leader of one term. Its actor (Run) owns the parts, the inbox and the
// order of a cycle; each part owns its state.
type Leader struct {
	Options
	leadership election.Leadership
	tookOverAt time.Time
	// ctx is the context of the term. It is stored because the actor outlives any
	// single call: helpers started by a message end with the term.
	ctx   context.Context
	inbox chan message

	lease        leaderLease
	jobs         jobTable
	dependencies dependencyTable
	writer       recordWriter
	formats      formatVersions
	machines     machineTable
	dispatcher   dispatcher
	provisioner  provisioner
	catalog      machineCatalog
	images       imageInventory
	estimator    runTimeEstimator
	cycle        schedulingCycle
	status       statusReporter
}

// message is something that the actor is told. The actor's goroutine applies it.
type message interface {
	apply(leader *Leader, now time.Time)
}

// New makes the leader of a term.
func New(options Options, leadership election.Leadership) *Leader {
	deployment := &options.Config.Deployment
	return &Leader{
		Options:    options,
		leadership: leadership,
		// Every connection may carry a heartbeat that waits for its answer. After a
		// failover all agents report at once, and none of them is refused here.
		inbox:        make(chan message, deployment.Sockets(len(options.Config.Peers)).Incoming),
		lease:        newLeaderLease(deployment.Workers),
		jobs:         newJobTable(),
		dependencies: newDependencyTable(),
		writer:       newRecordWriter(deployment.State.Smaller()),
		formats:      newFormatVersions(),
		machines:     newMachineTable(leadership.Term.FirstToken()),
		dispatcher:   newDispatcher(),
		provisioner:  newProvisioner(),
		catalog:      newMachineCatalog(),
		images:       newImageInventoryKeeper(),
		estimator:    newRunTimeEstimator(options.Config.Operator.Estimator),
	}
}

// Bind sets the context of the term. It must be called before any other method.
func (l *Leader) Bind(ctx context.Context) { l.ctx = ctx }

// Run leads until the context given to Bind ends.
//
// The goroutines that it starts, and those that messages start, end with the context.
// Nobody waits for them: all they do at the end of a call is to post its result, and
// post gives up with the context.
func (l *Leader) Run() {
	l.tookOverAt = time.Now()
	l.lease.answeringSince = l.tookOverAt.Add(tuning.AgentFailoverDelay)
	revision, ok := l.load(l.ctx)
	if !ok {
		return
	}
	l.Log.Info("records read, taking over", "term", l.leadership.Term,
		"jobs", len(l.jobs.open), "machines", len(l.machines.byID), "requests", len(l.provisioner.requests))
	go l.watchOpenJobs(l.ctx, revision)
	go l.confirmTerm(l.ctx)
	go l.pollVersions(l.ctx)
	l.loop()
}

// loop is the actor: it applies messages as they arrive, looks at the clock with each
// tick, and runs a scheduling cycle when something has changed and the last one is
// long enough ago.
func (l *Leader) loop() {
	tick := time.NewTicker(tuning.TickInterval)
	defer tick.Stop()
	l.onTick(time.Now())
	cycleTimer := time.NewTimer(0)
	defer cycleTimer.Stop()
	armed := true
	for {
		select {
		case <-l.ctx.Done():
			return
		case m := <-l.inbox:
			l.handle(m)
			l.drainInbox()
		case now := <-tick.C:
			l.onTick(now)
		case <-cycleTimer.C:
			armed = false
			start := time.Now()
			l.runCycle(start)
			l.cycle.finish(start, time.Now())
			continue
		}
		if l.cycle.needed && !armed {
			armed = true
			cycleTimer.Reset(l.cycle.untilNext())
		}
	}
}

// drainInbox applies all messages that have arrived already, so that they are
// decided upon together.
func (l *Leader) drainInbox() {
	for {
		select {
		case m := <-l.inbox:
			l.handle(m)
		default:
			return
		}
	}
}

func (l *Leader) handle(m message) { m.apply(l, time.Now()) }

// post sends a message to the actor, unless the term ends first.
func (l *Leader) post(m message) {
	select {
	case l.inbox <- m:
	case <-l.ctx.Done():
	}
}

// termToken returns the lowest fencing token of the term.
func (l *Leader) termToken() protocol.FencingToken { return l.leadership.Term.FirstToken() }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
