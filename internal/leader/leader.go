// Package leader schedules the cluster's jobs while its controller holds a term. One
// actor goroutine owns all state of the leader: open jobs, machines and provisioning
// requests. Other goroutines reach the actor only by messages. The helper goroutines that
// call the key-value store, the cloud and the agents post their results as messages.
//
// The order of effects preserves the guarantees to users through every failure:
//
//   - A start is recorded in the job's run record before it is sent.
//   - A task becomes free for another start only on proof that it has ended.
//   - A completion is recorded before the agent may forget the attempt.
//   - A provisioning request is recorded before the cloud is called.
//   - Every write is conditional on the term, so a deposed leader writes nothing.
//
// The package must never act on the clock alone: without proof that the term is still
// held (see leaderLease) it starts nothing and answers no heartbeat.
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

// Options holds the settings, the clients and the callbacks that a leader uses.
type Options struct {
	Config *config.Config
	Store  *kvstore.Client
	Cloud  *cloud.Client
	Agents *agent.Client
	Log    *slog.Logger
	// OnNewerTerm reports a term higher than the leader's to the election.
	OnNewerTerm func(newer protocol.Term)
	// Resign ends the term so that another controller can take the next one.
	Resign func()
	// RedirectedHeartbeats returns how many heartbeats the other controllers have
	// redirected recently.
	RedirectedHeartbeats func() int
	// AcknowledgedCancellations returns the jobs whose cancellation a controller has
	// acknowledged to a user, and the time up to which the list is complete for
	// acknowledgments after since. ok is false if the list of some controller may be
	// incomplete.
	AcknowledgedCancellations func(since time.Time) (asOf time.Time, jobIDs []protocol.JobID, ok bool)
}

// ErrMayNotAnswer is returned for a heartbeat that the leader may not answer now: its
// lease has expired, the agent has seen a newer term, the inbox is full or the term has
// ended.
var ErrMayNotAnswer = errors.New("heartbeat not answered: leader lease expired, newer term seen, inbox full or term ended")

// Leader schedules for one term. The actor goroutine (see Run) owns the inbox and the
// parts below, and each part owns its state. runCycle shows the order in which a
// scheduling cycle uses the parts.
type Leader struct {
	Options
	leadership election.Leadership
	tookOverAt time.Time
	// ctx is the context of the term. It is stored because the actor outlives any single
	// call: goroutines that a message starts end with the term.
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

// message is an event for the actor. The actor's goroutine applies it.
type message interface {
	apply(leader *Leader, now time.Time)
}

// New returns the leader of a term.
func New(options Options, leadership election.Leadership) *Leader {
	deployment := &options.Config.Deployment
	return &Leader{
		Options:    options,
		leadership: leadership,
		// The inbox has room for one message from every incoming connection, since each
		// may carry a heartbeat that waits for its answer. After a failover all agents
		// send heartbeats at once, and none of these is rejected here.
		inbox:        make(chan message, deployment.Sockets(len(options.Config.Peers)).Incoming),
		lease:        newLeaderLease(deployment.Workers),
		jobs:         newJobTable(),
		dependencies: newDependencyTable(),
		writer:       newRecordWriter(deployment.State.StricterLimits()),
		formats:      newFormatVersions(),
		machines:     newMachineTable(leadership.Term.FirstToken()),
		dispatcher:   newDispatcher(),
		provisioner:  newProvisioner(),
		catalog:      newMachineCatalog(),
		images:       newImageInventory(),
		estimator:    newRunTimeEstimator(options.Config.Operator.Estimator),
	}
}

// Bind sets the context of the term. It must be called before any other method.
func (l *Leader) Bind(ctx context.Context) { l.ctx = ctx }

// Run reads the stored records and leads until the context given to Bind ends.
//
// The goroutines that Run and the messages start end with that context. Run does not wait
// for them: their calls take the context, and post gives up when the context ends.
func (l *Leader) Run() {
	l.tookOverAt = time.Now()
	l.lease.confirmedSince = l.tookOverAt.Add(tuning.AgentFailoverDelay)
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

// loop is the actor: it applies messages as they arrive, does the work that depends on
// time with each tick, and runs a scheduling cycle when something has changed and the
// pause after the last cycle is over.
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

// drainInbox applies all messages that are already in the inbox, so that one scheduling
// cycle covers them all.
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

// post sends a message to the actor, or gives up when the term ends.
func (l *Leader) post(m message) {
	select {
	case l.inbox <- m:
	case <-l.ctx.Done():
	}
}

// termToken returns the lowest fencing token of the term.
func (l *Leader) termToken() protocol.FencingToken { return l.leadership.Term.FirstToken() }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
