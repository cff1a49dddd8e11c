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

// Deps is what a leader works with.
type Deps struct {
	Config *config.Config
	Store  *kvstore.Client
	Cloud  *cloud.Client
	Worker *agent.Client
	Log    *slog.Logger
	// OnTerm tells of a newer term seen at a worker.
	OnTerm func(n uint64)
	// Resign gives up the term for another node to take.
	Resign func()
	// Redirected is how many workers' reports the peers have sent on lately.
	Redirected func() int
	// Acknowledged returns the jobs that controllers have told users are cancelled,
	// and the time up to which none of those told after since is missing; ok is
	// false if a controller cannot tell.
	Acknowledged func(since time.Time) (asOf time.Time, refs []string, ok bool)
}

// ErrNotEntitled says that the leader may not answer reports now.
var ErrNotEntitled = errors.New("not entitled to act")

type (
	reportMsg struct {
		rep   *protocol.Heartbeat
		reply chan *protocol.HeartbeatReply // nil answer: not entitled
	}
	doMsg struct {
		m         *cluster.Machine
		rep       *protocol.Heartbeat
		starts    bool
		handshake bool
		err       error
	}
	commitMsg struct {
		b        *batch
		revision uint64
		failed   []string
		err      error
	}
	eventsMsg struct {
		events []protocol.WatchEvent
		asOf   time.Time // every cancellation told before it is in here
	}
	termMsg   struct{ asOf time.Time }
	lookupMsg struct {
		outcomes map[string]outcome
		open     []protocol.KeyValue
	}
	versionsMsg struct {
		formats   map[string]int // by controller
		committed bool           // the whole cluster uses ledger.FormatOwn
	}
	listMsg struct {
		began    time.Time
		machines []protocol.ListedMachine
		err      error
	}
	catalogMsg struct {
		types []protocol.MachineType
	}
	rentMsg struct {
		c     *claim
		hosts []string
		err   error
	}
	returnMsg struct{ err error }
	statusMsg struct{ reply chan Status }
)

type claim struct {
	records.ProvisioningRequest
	recorded, calling, settled bool
	hosts                      []string
	callAt                     time.Time
	drop                       bool // its record may go
}

// Controller is the leader of one term.
type Controller struct {
	Deps
	term  election.Leadership
	inbox chan any
	ctx   context.Context

	jobs     map[string]*job
	machines map[string]*cluster.Machine
	sorted   []*cluster.Machine // the same, by name
	floor    uint64             // the first token of a machine that becomes known
	gone     map[string]time.Time
	closed   map[string]time.Time // jobs closed lately, see forgetClosed
	claims   map[string]*claim
	claimSeq int
	types    []protocol.MachineType
	typeIdx  map[string]int
	refused  map[offer]*refusal
	est      estimator

	takeover    time.Time
	fitSince    time.Time // since when reports could have been answered all the time
	heardMost   bool      // most machines were heard at some time in this term
	asOfFollow  time.Time
	asOfTerm    time.Time
	asOfPeers   time.Time // see extendAuthority
	inCommit    *batch
	commitAfter time.Time
	hints       map[string]*records.ImageInventory // of an earlier leader, by machine
	hintAt      time.Time
	hintPart    int // the next hint's number
	hintFrom    int // the first machine, of the sorted ones, that it describes
	// failingSince is since when every commit has failed; zero: the last did not.
	failingSince time.Time
	leftovers    []leftover // pieces of closed jobs that are to be removed
	format       int        // the version of the formats that the whole cluster uses
	formats      map[string]int

	dependents  map[string][]string // jobs that wait for the one named
	outcomes    map[string]outcome  // final phases of jobs, as far as they were needed
	lookingUp   bool
	lookupBegan time.Time // of the lookup under way
	lookupAt    time.Time // no lookup before
	writes      *rate.Limiter
	listed      bool
	listing     bool
	cloudOK     bool
	nextList    time.Time
	catalogAt   time.Time
	loadedTypes bool
	lastPass    time.Time                 // when the last pass ended
	lastRunning int                       // entries of the last snapshot's machines, for the next one's size
	passTook    time.Duration             // how long it took
	changed     bool                      // something that decisions depend on has changed
	touched     map[*cluster.Machine]bool // have something to be sent
	toHandshake []*cluster.Machine        // see planHandshakes
	handshaking int                       // handshakes under way
	toReturn    []*cluster.Machine        // to be given back
	returning   []*cluster.Machine        // in the call that is under way
	returnAfter time.Time
	summarized  time.Time
	lateLogged  time.Time
	status      Status
	gpuRank     int // see sched.Snapshot
	gpuNeed     scheduler.Resources
}

type offer struct {
	typ, zone string
	spot      bool
}

type refusal struct {
	until time.Time
	pause time.Duration
}

// New makes the leader of a term.
func New(d Deps, term election.Leadership) *Controller {
	limits := d.Config.Deployment.State.Smaller()
	floor := term.Term << tuning.TermShift
	wr := limits.WriteRPS * tuning.LeaderWriteShare
	return &Controller{
		Deps: d, term: term,
		// A report that waits holds a connection, so that none is refused here:
		// after a takeover all workers report at once.
		inbox: make(chan any, d.Config.Deployment.Sockets(len(d.Config.Peers)).Incoming),
		jobs:  map[string]*job{}, machines: map[string]*cluster.Machine{}, gone: map[string]time.Time{}, closed: map[string]time.Time{}, hints: map[string]*records.ImageInventory{}, touched: map[*cluster.Machine]bool{},
		floor: floor, gpuRank: -1, claims: map[string]*claim{}, refused: map[offer]*refusal{}, typeIdx: map[string]int{},
		est:     estimator{off: d.Config.Operator.Estimator == "user", classes: map[string]*classRuns{}},
		writes:  rate.NewLimiter(rate.Limit(wr), max(int(wr), limits.TxnOps)),
		format:  records.FormatWhole,
		formats: map[string]int{}, dependents: map[string][]string{}, outcomes: map[string]outcome{},
	}
}

// Report answers a worker's report, or fails with ErrNotEntitled.
func (c *Controller) Report(ctx context.Context, rep *protocol.Heartbeat) (*protocol.HeartbeatReply, error) {
	reply := make(chan *protocol.HeartbeatReply, 1)
	select {
	case c.inbox <- reportMsg{rep, reply}:
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
func (c *Controller) Status(ctx context.Context) (Status, bool) {
	reply := make(chan Status, 1)
	select {
	case c.inbox <- statusMsg{reply}:
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
func (c *Controller) Bind(ctx context.Context) { c.ctx = ctx }

// Run leads until the context given to Bind ends.
func (c *Controller) Run() {
	ctx := c.ctx
	c.takeover = time.Now()
	c.fitSince = c.takeover.Add(tuning.AgentRetry)
	rev, ok := c.load(ctx)
	if !ok {
		return
	}
	c.Log.Info("records read", "term", c.term.Term, "jobs", len(c.jobs), "machines", len(c.machines), "claims", len(c.claims))
	go c.follow(ctx, rev)
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
			c.pass(start)
			c.lastPass = time.Now()
			c.passTook = c.lastPass.Sub(start)
			continue
		}
		if c.changed && !armed {
			armed = true
			passTimer.Reset(c.passGap() - time.Since(c.lastPass))
		}
	}
}

// passGap is the least time between two passes. It grows with what a pass
// takes, so that decisions never starve the answers to workers.
func (c *Controller) passGap() time.Duration {
	return min(max(tuning.CycleInterval, tuning.CyclePauseFactor*c.passTook), tuning.CycleIntervalMax)
}

func (c *Controller) handle(m any) {
	now := time.Now()
	switch m := m.(type) {
	case reportMsg:
		m.reply <- c.onReport(m.rep, now)
	case doMsg:
		c.onDo(m, now)
	case commitMsg:
		c.onCommit(m, now)
	case eventsMsg:
		c.onEvents(m, now)
	case termMsg:
		c.asOfTerm = m.asOf
	case lookupMsg:
		c.onLookup(m, now)
	case versionsMsg:
		c.onVersions(m)
	case listMsg:
		c.onList(m, now)
	case catalogMsg:
		c.onCatalog(m, now)
	case rentMsg:
		c.onRent(m, now)
	case returnMsg:
		c.onReturn(m, now)
	case statusMsg:
		m.reply <- c.status
	}
}

func (c *Controller) send(m any) {
	select {
	case c.inbox <- m:
	case <-c.ctx.Done():
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (c *Controller) token() uint64 { return c.term.Term << tuning.TermShift }

func (c *Controller) bootS(m *cluster.Machine) float64 {
	if i, ok := c.typeIdx[m.Type]; ok {
		return c.types[i].BootS
	}
	worst := 0.0
	for _, t := range c.types {
		worst = math.Max(worst, t.BootS)
	}
	return worst
}
