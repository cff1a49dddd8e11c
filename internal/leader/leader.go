// Package leader is the leader: one actor that owns jobs, machines and
// rentals for a term, and is spoken to by messages only.
package leader

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"time"

	"golang.org/x/time/rate"

	"marblehaven/internal/agent"
	"marblehaven/internal/cloud"
	"marblehaven/internal/cluster"
	"marblehaven/internal/config"
	"marblehaven/internal/election"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/scheduler"
	"marblehaven/internal/tuning"
)

// Dependencies is what a leader works with.
type Dependencies struct {
	Config *config.Config
	Store  *kvstore.Client
	Cloud  *cloud.Client
	Agents *agent.Client
	Log    *slog.Logger
	// OnNewerTerm tells of a newer term seen at a worker.
	OnNewerTerm func(newer protocol.Term)
	// Resign gives up the term for another node to take.
	Resign func()
	// Redirected is how many workers' reports the peers have sent on lately.
	Redirected func() int
	// Acknowledged returns the jobs that controllers have told users are cancelled,
	// and the time up to which none of those told after since is missing; ok is
	// false if a controller cannot tell.
	Acknowledged func(since time.Time) (asOf time.Time, jobIDs []protocol.JobID, ok bool)
}

// ErrNotEntitled says that the leader may not answer reports now.
var ErrNotEntitled = errors.New("not entitled to act")

type (
	heartbeatRequest struct {
		heartbeat *protocol.Heartbeat
		reply     chan *protocol.HeartbeatReply // nil answer: not entitled
	}
	commandResult struct {
		machine   *cluster.Machine
		status    *protocol.Heartbeat
		starts    bool
		handshake bool
		err       error
	}
	commitResult struct {
		batch      *commitBatch
		revision   protocol.Revision
		failedKeys []string
		err        error
	}
	watchResult struct {
		events []protocol.WatchEvent
		asOf   time.Time // every cancellation told before it is in here
	}
	termConfirmation struct{ asOf time.Time }
	dependencyLookup struct {
		outcomes map[protocol.JobID]dependencyOutcome
		open     []protocol.KeyValue
	}
	versionsResult struct {
		formats   map[string]int // by controller
		committed bool           // the whole cluster uses ledger.FormatOwn
	}
	machineListResult struct {
		began    time.Time
		machines []protocol.ListedMachine
		err      error
	}
	catalogResult struct {
		types []protocol.MachineType
	}
	provisionResult struct {
		request    *provisioning
		machineIDs []string
		err        error
	}
	deprovisionResult struct{ err error }
	statusRequest     struct{ reply chan Status }
)

type provisioning struct {
	records.ProvisioningRequest
	recorded, calling, resolved bool
	machineIDs                  []string
	nextCall                    time.Time
	obsolete                    bool // its record may go
}

// Leader is the leader of one term. Its actor (Run) owns all the parts; the parts
// own their state.
type Leader struct {
	Dependencies
	leadership election.Leadership
	tookOverAt time.Time
	ctx        context.Context
	inbox      chan any

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
	estimator    estimator
	cycle        schedulingCycle
	status       statusReporter
}

type leaderLease struct {
	answeringSince   time.Time // since when reports could have been answered all the time
	heardMajority    bool      // most machines were heard at some time in this term
	confirmedByWatch time.Time
	confirmedByTerm  time.Time
	confirmedByPeers time.Time // see extendAuthority
}

type jobTable struct {
	open        map[protocol.JobID]*jobState
	closed      map[protocol.JobID]time.Time // jobs closed lately, see forgetClosed
	gpuPriority protocol.PriorityLevel       // see sched.Snapshot
	gpuRequest  scheduler.Resources
}

type dependencyTable struct {
	dependents     map[protocol.JobID][]protocol.JobID  // jobs that wait for the one named
	outcomes       map[protocol.JobID]dependencyOutcome // final phases of jobs, as far as they were needed
	lookupInFlight bool
	lookupBegan    time.Time // of the lookup under way
	nextLookup     time.Time // no lookup before
}

type recordWriter struct {
	inFlight   *commitBatch
	nextCommit time.Time
	// failingSince is since when every commit has failed; zero: the last did not.
	failingSince time.Time
	orphans      []orphanedSegment // pieces of closed jobs that are to be removed
	limiter      *rate.Limiter
}

type formatVersions struct {
	cluster      int // the version of the formats that the whole cluster uses
	byController map[string]int
}

type machineTable struct {
	byID       map[string]*cluster.Machine
	sorted     []*cluster.Machine    // the same, by name
	firstToken protocol.FencingToken // the first token of a machine that becomes known
	removed    map[string]time.Time
}

type dispatcher struct {
	pending            map[*cluster.Machine]bool // have something to be sent
	handshakeQueue     []*cluster.Machine        // see planHandshakes
	handshakesInFlight int                       // handshakes under way
}

type provisioner struct {
	requests            map[string]*provisioning
	sequence            int
	backoffs            map[capacityPool]*capacityBackoff
	deprovisionQueue    []*cluster.Machine // to be given back
	deprovisionInFlight []*cluster.Machine // in the call that is under way
	nextDeprovision     time.Time
	listed              bool
	listInFlight        bool
	nextList            time.Time
	cloudAvailable      bool
}

type machineCatalog struct {
	types    []protocol.MachineType
	index    map[string]int
	loaded   bool
	nextRead time.Time
}

type imageInventory struct {
	inherited   map[string]*records.ImageInventory // of an earlier leader, by machine
	nextSave    time.Time
	nextPart    int // the next hint's number
	nextMachine int // the first machine, of the sorted ones, that it describes
}

type schedulingCycle struct {
	lastEnd        time.Time     // when the last pass ended
	runningEntries int           // entries of the last snapshot's machines, for the next one's size
	took           time.Duration // how long it took
	needed         bool          // something that decisions depend on has changed
}

type statusReporter struct {
	current         Status
	summarizedAt    time.Time
	overdueLoggedAt time.Time
}

type capacityPool struct {
	machineType, zone string
	spot              bool
}

type capacityBackoff struct {
	until time.Time
	delay time.Duration
}

// New makes the leader of a term.
func New(d Dependencies, term election.Leadership) *Leader {
	limits := d.Config.Deployment.State.Smaller()
	writesPerSecond := limits.WriteRPS * tuning.LeaderWriteShare
	return &Leader{
		Dependencies: d,
		leadership:   term,
		// A report that waits holds a connection, so that none is refused here:
		// after a takeover all workers report at once.
		inbox:        make(chan any, d.Config.Deployment.Sockets(len(d.Config.Peers)).Incoming),
		jobs:         jobTable{open: map[protocol.JobID]*jobState{}, closed: map[protocol.JobID]time.Time{}, gpuPriority: -1},
		dependencies: dependencyTable{dependents: map[protocol.JobID][]protocol.JobID{}, outcomes: map[protocol.JobID]dependencyOutcome{}},
		writer:       recordWriter{limiter: rate.NewLimiter(rate.Limit(writesPerSecond), max(int(writesPerSecond), limits.TxnOps))},
		formats:      formatVersions{cluster: records.FormatWhole, byController: map[string]int{}},
		machines:     machineTable{byID: map[string]*cluster.Machine{}, firstToken: term.Term.FirstToken(), removed: map[string]time.Time{}},
		dispatcher:   dispatcher{pending: map[*cluster.Machine]bool{}},
		provisioner:  provisioner{requests: map[string]*provisioning{}, backoffs: map[capacityPool]*capacityBackoff{}},
		catalog:      machineCatalog{index: map[string]int{}},
		images:       imageInventory{inherited: map[string]*records.ImageInventory{}},
		estimator:    estimator{off: d.Config.Operator.Estimator == "user", classes: map[string]*classRuns{}},
	}
}

// Heartbeat answers a worker's report, or fails with ErrNotEntitled.
func (c *Leader) Heartbeat(ctx context.Context, heartbeat *protocol.Heartbeat) (*protocol.HeartbeatReply, error) {
	reply := make(chan *protocol.HeartbeatReply, 1)
	select {
	case c.inbox <- heartbeatRequest{heartbeat, reply}:
	default:
		return nil, ErrNotEntitled // overloaded: the worker tries again
	}
	select {
	case r := <-reply:
		if r == nil {
			return nil, ErrNotEntitled
		}
		return r, nil
	case <-c.ctx.Done():
		return nil, ErrNotEntitled
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Status asks for a summary.
func (c *Leader) Status(ctx context.Context) (Status, bool) {
	reply := make(chan Status, 1)
	select {
	case c.inbox <- statusRequest{reply}:
	case <-c.ctx.Done():
		return Status{}, false
	case <-ctx.Done():
		return Status{}, false
	}
	select {
	case s := <-reply:
		return s, true
	case <-c.ctx.Done():
	case <-ctx.Done():
	}
	return Status{}, false
}

// Bind sets the context of the term; it comes before any other call.
func (c *Leader) Bind(ctx context.Context) { c.ctx = ctx }

// Run leads until the context given to Bind ends.
func (c *Leader) Run() {
	ctx := c.ctx
	c.tookOverAt = time.Now()
	c.lease.answeringSince = c.tookOverAt.Add(tuning.AgentRetry)
	rev, ok := c.load(ctx)
	if !ok {
		return
	}
	c.Log.Info("records read", "term", c.leadership.Term, "jobs", len(c.jobs.open), "machines", len(c.machines.byID), "claims", len(c.provisioner.requests))
	go c.watchOpenJobs(ctx, rev)
	go c.confirmTerm(ctx)
	go c.watchVersions(ctx)
	tick := time.NewTicker(tuning.TickInterval)
	defer tick.Stop()
	c.onTick(time.Now())
	passTimer := time.NewTimer(0)
	defer passTimer.Stop()
	armed := true
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox:
			c.handle(m)
			// What has already arrived is decided together.
			for more := true; more; {
				select {
				case m := <-c.inbox:
					c.handle(m)
				default:
					more = false
				}
			}
		case now := <-tick.C:
			c.onTick(now)
		case <-passTimer.C:
			armed = false
			start := time.Now()
			c.runCycle(start)
			c.cycle.lastEnd = time.Now()
			c.cycle.took = c.cycle.lastEnd.Sub(start)
			continue
		}
		if c.cycle.needed && !armed {
			armed = true
			passTimer.Reset(c.cycleInterval() - time.Since(c.cycle.lastEnd))
		}
	}
}

// cycleInterval is the least time between two passes. It grows with what a pass
// takes, so that decisions never starve the answers to workers.
func (c *Leader) cycleInterval() time.Duration {
	return min(max(tuning.CycleInterval, tuning.CyclePauseFactor*c.cycle.took), tuning.CycleIntervalMax)
}

func (c *Leader) handle(m any) {
	now := time.Now()
	switch m := m.(type) {
	case heartbeatRequest:
		m.reply <- c.onHeartbeat(m.heartbeat, now)
	case commandResult:
		c.onCommandResult(m, now)
	case commitResult:
		c.onCommit(m, now)
	case watchResult:
		c.onWatchResult(m, now)
	case termConfirmation:
		c.lease.confirmedByTerm = m.asOf
	case dependencyLookup:
		c.onDependencyLookup(m, now)
	case versionsResult:
		c.onVersions(m)
	case machineListResult:
		c.onMachineList(m, now)
	case catalogResult:
		c.onCatalog(m, now)
	case provisionResult:
		c.onProvisionResult(m, now)
	case deprovisionResult:
		c.onDeprovisionResult(m, now)
	case statusRequest:
		m.reply <- c.status.current
	}
}

func (c *Leader) post(m any) {
	select {
	case c.inbox <- m:
	case <-c.ctx.Done():
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (c *Leader) termToken() protocol.FencingToken { return c.leadership.Term.FirstToken() }

func (c *Leader) bootS(machine *cluster.Machine) float64 {
	if i, ok := c.catalog.index[machine.Type]; ok {
		return c.catalog.types[i].BootS
	}
	worst := 0.0
	for _, t := range c.catalog.types {
		worst = math.Max(worst, t.BootS)
	}
	return worst
}
