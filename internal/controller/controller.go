// Package controller is the leader: one actor that owns jobs, machines and
// rentals for a term, and is spoken to by messages only.
package controller

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"marblehaven/internal/cloud"
	"marblehaven/internal/config"
	"marblehaven/internal/election"
	"marblehaven/internal/fleet"
	"marblehaven/internal/ledger"
	"marblehaven/internal/pause"
	"marblehaven/internal/sched"
	"marblehaven/internal/statestore"
	"marblehaven/internal/tuning"
	"marblehaven/internal/wire"
	"marblehaven/internal/worker"
)

// Deps is what a leader works with.
type Deps struct {
	Config *config.Config
	Store  *statestore.Client
	Cloud  *cloud.Client
	Worker *worker.Client
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
	helloMsg struct {
		rep   *wire.Report
		reply chan *wire.HelloReply // nil answer: not entitled
	}
	doMsg struct {
		m      *fleet.Machine
		rep    *wire.Report
		starts bool
		greets bool
		err    error
	}
	commitMsg struct {
		b        *batch
		revision uint64
		failed   []string
		err      error
	}
	eventsMsg struct {
		events []wire.Event
		asOf   time.Time // every cancellation told before it is in here
	}
	termMsg   struct{ asOf time.Time }
	lookupMsg struct {
		outcomes map[string]outcome
		open     []wire.Item
	}
	versionsMsg struct {
		formats   map[string]int // by controller
		committed bool           // the whole cluster uses ledger.FormatOwn
	}
	listMsg struct {
		machines []wire.ListedMachine
		err      error
	}
	catalogMsg struct {
		types []wire.MachineType
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
	ledger.Claim
	recorded, calling, settled bool
	hosts                      []string
	callAt                     time.Time
	drop                       bool // its record may go
}

// Controller is the leader of one term.
type Controller struct {
	Deps
	term  election.Held
	inbox chan any
	ctx   context.Context

	jobs     map[string]*job
	machines map[string]*fleet.Machine
	sorted   []*fleet.Machine // the same, by name
	floor    uint64           // the first token of a machine that becomes known
	gone     map[string]time.Time
	closed   map[string]time.Time // jobs closed lately: an older reading must not open them again
	claims   map[string]*claim
	claimSeq int
	types    []wire.MachineType
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
	hints       map[string]*ledger.Hint // of an earlier leader, by machine
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
	lookupAt    time.Time
	writes      *rate.Limiter
	listed      bool
	listing     bool
	cloudOK     bool
	nextList    time.Time
	catalogAt   time.Time
	loadedTypes bool
	lastPass    time.Time               // when the last pass ended
	lastRunning int                     // entries of the last snapshot's machines, for the next one's size
	passTook    time.Duration           // how long it took
	changed     bool                    // something that decisions depend on has changed
	touched     map[*fleet.Machine]bool // have something to be sent
	toGreet     []*fleet.Machine        // see planGreets
	greeting    int                     // greetings under way
	toReturn    []*fleet.Machine        // to be given back
	returning   []*fleet.Machine        // in the call that is under way
	returnAfter time.Time
	summarized  time.Time
	lateLogged  time.Time
	status      Status
	cardRank    int // see sched.Snapshot
	cardNeed    sched.Res
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
func New(d Deps, term election.Held) *Controller {
	limits := d.Config.Deployment.State.Smaller()
	floor := term.N << tuning.TermShift
	wr := limits.WriteRPS * tuning.LeaderWriteShare
	return &Controller{
		Deps: d, term: term,
		// A report that waits holds a connection, so that none is refused here:
		// after a takeover all workers report at once.
		inbox: make(chan any, d.Config.Deployment.Sockets(len(d.Config.Peers)).Incoming),
		jobs:  map[string]*job{}, machines: map[string]*fleet.Machine{}, gone: map[string]time.Time{}, closed: map[string]time.Time{}, hints: map[string]*ledger.Hint{}, touched: map[*fleet.Machine]bool{},
		floor: floor, cardRank: -1, claims: map[string]*claim{}, refused: map[offer]*refusal{}, typeIdx: map[string]int{},
		est:     estimator{off: d.Config.Operator.Estimator == "user", classes: map[string]*classRuns{}},
		writes:  rate.NewLimiter(rate.Limit(wr), max(int(wr), limits.TxnOps)),
		format:  ledger.FormatWhole,
		formats: map[string]int{}, dependents: map[string][]string{}, outcomes: map[string]outcome{},
	}
}

// Hello answers a worker's report, or fails with ErrNotEntitled.
func (c *Controller) Hello(ctx context.Context, rep *wire.Report) (*wire.HelloReply, error) {
	reply := make(chan *wire.HelloReply, 1)
	select {
	case c.inbox <- helloMsg{rep, reply}:
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
	c.fitSince = c.takeover.Add(tuning.WorkerRetry)
	rev, ok := c.load(ctx)
	if !ok {
		return
	}
	c.Log.Info("records read", "term", c.term.N, "jobs", len(c.jobs), "machines", len(c.machines), "claims", len(c.claims))
	go c.follow(ctx, rev)
	go c.confirmTerm(ctx)
	go c.watchVersions(ctx)
	tick := time.NewTicker(tuning.TickEvery)
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
	return min(max(tuning.PassGap, tuning.PassPause*c.passTook), tuning.PassGapMax)
}

func (c *Controller) handle(m any) {
	now := time.Now()
	switch m := m.(type) {
	case helloMsg:
		m.reply <- c.onHello(m.rep, now)
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

// follow learns of new jobs and cancellations. Each return also proves that all
// told before the call began are known here.
func (c *Controller) follow(ctx context.Context, rev uint64) {
	read := time.Now()
	for ctx.Err() == nil {
		start := time.Now()
		ev, err := c.Store.Follow(ctx, ledger.PrefixOpen, rev, tuning.FollowHold)
		switch {
		case err == nil:
			rev = ev.Revision
			c.send(eventsMsg{ev.Events, start})
		case errors.Is(err, statestore.ErrCompacted):
		default:
			pause.For(ctx, tuning.ElectionRetry)
			continue
		}
		// All is read again now and then: an event that was lost would leave an
		// accepted job waiting for ever, or a cancelled one running.
		if err != nil || time.Since(read) > tuning.RereadEvery {
			start := time.Now()
			items, lerr := c.Store.ListAll(ctx, ledger.PrefixOpen)
			if lerr != nil {
				pause.For(ctx, tuning.ElectionRetry)
				continue
			}
			read = time.Now()
			m := eventsMsg{asOf: start}
			for _, it := range items.Items {
				m.events = append(m.events, wire.Event{Set: it.Key, Value: it.Value, Version: it.Version})
			}
			if err != nil {
				rev = items.Revision
			}
			c.send(m)
		}
	}
}

// confirmTerm proves once a second that the term is still ours.
func (c *Controller) confirmTerm(ctx context.Context) {
	for pause.For(ctx, tuning.FollowHold) {
		start := time.Now()
		it, err := c.Store.Get(ctx, ledger.KeyTerm)
		if err != nil {
			continue
		}
		if it.Version != c.term.Stamp {
			var t ledger.Term
			if wire.Unmarshal(it.Value, &t) == nil {
				c.OnTerm(t.N)
			}
			return
		}
		c.send(termMsg{start})
	}
}

// confirmed is the time up to which the state service itself has proved that.
func (c *Controller) confirmed() time.Time {
	if c.asOfTerm.Before(c.asOfFollow) {
		return c.asOfTerm
	}
	return c.asOfFollow
}

// authority is the time up to which no cancellation acknowledged to a user and no
// newer term can be unknown here.
func (c *Controller) authority() time.Time {
	if at := c.confirmed(); at.After(c.asOfPeers) {
		return at
	}
	return c.asOfPeers
}

// extendAuthority goes on where the state service gives no proof. The jobs that
// users were told are cancelled since then are stopped here as if their events had
// come; once all controllers, this one included, have named theirs up to some time,
// nothing told before it is unknown. Nor is a newer term: whoever holds one knows it
// before it counts anybody's lease as over, and has not answered yet.
func (c *Controller) extendAuthority(now time.Time) {
	since := c.confirmed()
	if now.Sub(since) < tuning.StartAuthority || c.Acknowledged == nil {
		return
	}
	asOf, refs, ok := c.Acknowledged(since)
	if !ok {
		return
	}
	for _, ref := range refs {
		if j := c.jobs[ref]; j != nil && !j.cancelled {
			j.recordBehind = true
			c.cancelJob(j, now)
		}
	}
	if asOf.After(c.asOfPeers) {
		c.asOfPeers = asOf
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// leaderLease is X: how long after its last proof of authority a leader may answer
// reports, so that a machine kept alive by it still loses its tasks in time.
func (c *Controller) leaderLease() time.Duration {
	w := c.Config.Deployment.Workers
	return max(0, seconds(w.CancelS-w.LeaseS)-tuning.LeaderLeaseMargin)
}

func (c *Controller) leaseFrom(t time.Time) time.Time {
	return t.Add(seconds(c.Config.Deployment.Workers.LeaseS*(1+tuning.DriftShare)) + tuning.LeaseMargin)
}

func (c *Controller) token() uint64 { return c.term.N << tuning.TermShift }

// machine finds a machine or makes one that is known by name only.
func (c *Controller) machine(id string, now time.Time) *fleet.Machine {
	m := c.machines[id]
	if m == nil {
		// An earlier leader may go on answering it for X, and then its lease
		// runs: only after that its recorded tasks count as gone.
		m = fleet.New(id, c.floor, now, c.leaseFrom(c.takeover.Add(c.leaderLease())))
		c.machines[id] = m
		i, _ := slices.BinarySearchFunc(c.sorted, id, func(m *fleet.Machine, id string) int { return strings.Compare(m.ID, id) })
		c.sorted = slices.Insert(c.sorted, i, m)
		c.changed = true
	}
	return m
}

// forget drops a machine that was given back.
func (c *Controller) forget(m *fleet.Machine) {
	delete(c.machines, m.ID)
	delete(c.touched, m)
	// Should a late report of it come when it is long forgotten, it must show a
	// token that it cannot have seen, so that nothing is placed on it.
	c.floor = max(c.floor, m.Token+1)
	c.sorted = slices.DeleteFunc(c.sorted, func(o *fleet.Machine) bool { return o == m })
	c.changed = true
}

func (c *Controller) onHello(r *wire.Report, now time.Time) *wire.HelloReply {
	if r.Token>>tuning.TermShift > c.term.N {
		c.Log.Info("a worker has seen a newer term", "machine", r.Machine)
		c.OnTerm(r.Token >> tuning.TermShift)
		return nil
	}
	if now.Sub(c.authority()) > c.leaderLease() {
		return nil
	}
	if _, ok := c.gone[r.Machine]; ok {
		return &wire.HelloReply{Token: c.token(), Orders: []wire.Order{}}
	}
	m := c.machine(r.Machine, now)
	if !m.Heard(r) && !m.Again(r) {
		// A late copy: nobody takes its answer, so it renews no lease, and what
		// it says is as old as it is. Or a worker that began anew, which shows
		// by the token in this answer that it is there.
		return &wire.HelloReply{Token: m.Token, Orders: []wire.Order{}}
	}
	m.LastHello = now
	c.observe(m, r, now)
	if until := c.leaseFrom(now); m.Shown >= c.token() || until.After(m.LeaseEnd) {
		m.LeaseEnd = until
	}
	m.Answer()
	return &wire.HelloReply{Token: m.Token, Orders: c.orders(m)}
}

// observe takes in a report from /hello or from a direct command's answer.
func (c *Controller) observe(m *fleet.Machine, r *wire.Report, now time.Time) {
	wasUp := m.Up
	ended, fresh := m.Observe(r, parseTask, now, c.leaseFrom(now))
	if !fresh {
		return
	}
	if usable := m.Usable(now, c.silence()); usable != m.WasUsable {
		m.WasUsable, c.changed = usable, true
	}
	if !wasUp {
		m.IdleSince, m.CardsIdle = now, now
		c.takeHint(m)
		c.Log.Info("machine up", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot)
	}
	c.end(ended, now)
	if c.Log.Enabled(c.ctx, slog.LevelDebug) {
		for k, p := range m.Live {
			if j := c.jobs[k.Job]; j != nil && p.State == wire.TaskRunning && p.Since.Equal(now) {
				c.Log.Debug("task running", "task", taskName(k), "class", j.desc.Class, "machine", m.ID, "age", now.Sub(j.at))
			}
		}
	}
}

// orders are the stops and reaps due at a machine. Both may be repeated.
func (c *Controller) orders(m *fleet.Machine) []wire.Order {
	out := []wire.Order{}
	for i := range m.Reported {
		t := &m.Reported[i]
		k, ok := t.Of, t.OK
		p := m.Live[k]
		j := c.jobs[k.Job]
		switch {
		case t.State == wire.TaskExited:
			// Reaping earlier could make the worker run it again: a start
			// still under way, or a completion that is not recorded yet.
			if m.MayReap(k, t.Attempt) && !(j != nil && j.pendingDone[k.Task]) && (p == nil || p.Attempt != t.Attempt) {
				out = append(out, wire.Order{Verb: wire.VerbForget, Task: t.Task, Attempt: t.Attempt})
			}
		case !ok || p == nil || p.Attempt != t.Attempt:
			if m.Shown >= c.token() {
				out = append(out, wire.Order{Verb: wire.VerbStop, Task: t.Task, Attempt: t.Attempt})
			}
		case p.Stopping && (t.State != wire.TaskSaving || p.Grace == 0):
			out = append(out, wire.Order{Verb: wire.VerbStop, Task: t.Task, Attempt: t.Attempt, Grace: p.Grace})
		}
	}
	return out
}

// end draws the conclusions from placements that are over.
func (c *Controller) end(ended []fleet.Ended, now time.Time) {
	for _, e := range ended {
		c.changed = true
		p := e.Placement
		p.Machine.Drop(p, now)
		j := c.jobs[p.Job]
		if j != nil && j.desc.Cards > 0 {
			p.Machine.CardsIdle = now
		}
		if j == nil || j.live[p.Task] != p {
			continue
		}
		delete(j.live, p.Task)
		if e.Cause == wire.CauseDone {
			if p.State == wire.TaskRunning {
				c.est.done(&j.desc, now.Sub(p.Since).Seconds())
			}
			j.done.Add(p.Task)
			j.nDone++
			j.pendingDone[p.Task] = true
			j.errors = 0
			c.markDirty(j, p.Task, false, now)
		} else {
			j.giveBack(p.Task)
			if p.Recorded {
				// The next leader would leave it its time to end all over again.
				c.markDirty(j, p.Task, false, now)
			}
			if e.Cause != wire.CauseStopped && !j.cancelled {
				c.Log.Info("task ended", "task", taskName(p.Key), "try", p.Attempt, "machine", p.Machine.ID, "cause", e.Cause)
			}
			switch e.Cause {
			case wire.CauseError:
				j.errors++
				pause := tuning.ErrorBackoff << min(j.errors-1, 10)
				j.restUntil = now.Add(min(pause, tuning.ErrorBackoffMax))
				p.Machine.Failed(j.ref)
			case wire.CauseNoRoom, wire.CauseBusy:
				p.Machine.RestUntil = now.Add(tuning.MachineBackoff)
			case wire.CauseUnknown:
				j.restUntil = now.Add(tuning.MachineBackoff)
			}
			if j.gang() {
				// The gang has lost a member: the rest cannot go on.
				for _, q := range j.live {
					c.stop(q, 0, now)
				}
			}
		}
	}
}

// stop orders a placement to end.
func (c *Controller) stop(p *fleet.Placement, graceS float64, now time.Time) {
	if p.Stopping && p.Grace <= graceS {
		return
	}
	if !p.Recorded {
		c.unplace(p, now) // its start was never sent
		return
	}
	p.Stopping, p.Grace, p.StopAt = true, graceS, now
	c.touched[p.Machine] = true
	c.changed = true
}

// unplace takes back a placement whose start was never sent.
func (c *Controller) unplace(p *fleet.Placement, now time.Time) {
	c.changed = true
	p.Machine.Drop(p, now)
	if j := c.jobs[p.Job]; j != nil && j.live[p.Task] == p {
		delete(j.live, p.Task)
		j.giveBack(p.Task)
		if p.Recorded {
			c.markDirty(j, p.Task, false, now)
		}
	}
}

func (c *Controller) cancelJob(j *job, now time.Time) {
	c.Log.Info("job cancelled", "job", j.ref, "live", len(j.live))
	j.cancelled = true
	c.changed = true
	for _, p := range j.live {
		c.stop(p, 0, now)
	}
	c.cancelDependents(j.ref, now)
}

func (c *Controller) onEvents(m eventsMsg, now time.Time) {
	for _, e := range m.events {
		if e.Set != "" {
			if _, piece := ledger.SplitOpen(e.Set); piece == ledger.NoPiece {
				c.setOpen(e.Set, e.Value, e.Version, now)
			}
		}
	}
	c.asOfFollow = m.asOf
}

// dispatch sends what is due to a machine directly.
func (c *Controller) dispatch(m *fleet.Machine, now time.Time) {
	if m.InFlight || !m.Up || m.Addr == "" || m.Session <= m.Lapsed {
		return
	}
	var orders []wire.Order
	starts := false
	for _, p := range m.Live {
		if p.Stopping && p.Sent && now.Sub(p.StopAt) < tuning.TickEvery {
			orders = append(orders, wire.Order{Verb: wire.VerbStop, Task: taskName(p.Key), Attempt: p.Attempt, Grace: p.Grace})
			p.StopAt = now.Add(-tuning.TickEvery) // the reports carry repeats
		}
	}
	// Placed before an outage or a standstill, its job may be cancelled by now.
	mayStart := now.Sub(c.confirmed()) < tuning.StartAuthority
	waiting := m.Outbox[:0]
	for _, p := range m.Outbox {
		switch {
		case m.Live[p.Key] != p || p.Sent:
		case p.Stopping || p.Session != m.Session || m.Shown < c.token():
			c.unplace(p, now) // never sent, so it can be taken back
		case !mayStart:
			waiting = append(waiting, p)
		default:
			m.Start(p)
			starts = true
			orders = append(orders, wire.Order{Verb: wire.VerbStart, Task: taskName(p.Key), Attempt: p.Attempt})
		}
	}
	m.Outbox = waiting
	if len(orders) > 0 {
		c.do(m, orders, m.Session, starts, false)
	}
}

// planGreets lists the machines that are to be greeted: those not tried yet, of
// these the ones with production work, then those with other work. After a
// takeover that is the whole fleet, and one after another takes the processor's
// time from what holds the leases.
func (c *Controller) planGreets(now time.Time) {
	type due struct {
		m     *fleet.Machine
		order int
	}
	var dues []due
	for _, m := range c.sorted {
		if !c.unmet(m, now) {
			continue
		}
		d := due{m, 2}
		switch {
		case c.production(m):
			d.order = 0
		case len(m.Live) > 0:
			d.order = 1
		}
		if !m.GreetAt.IsZero() {
			d.order += 3
		}
		dues = append(dues, d)
	}
	slices.SortStableFunc(dues, func(a, b due) int { return cmp.Compare(a.order, b.order) })
	c.toGreet = c.toGreet[:0]
	for _, d := range dues {
		c.toGreet = append(c.toGreet, d.m)
	}
	c.greetNext(now)
}

// greetNext greets as many as may be greeted at once.
func (c *Controller) greetNext(now time.Time) {
	for len(c.toGreet) > 0 && c.greeting < tuning.GreetAtOnce {
		m := c.toGreet[0]
		c.toGreet = c.toGreet[1:]
		c.greet(m, now)
	}
}

// unmet tells whether a machine runs and has not seen the term's token, or has said
// nothing for a lease, after which what ran on it is gone if it is there at all.
func (c *Controller) unmet(m *fleet.Machine, now time.Time) bool {
	return !m.InFlight && !m.Leaving && m.Addr != "" && !now.Before(m.GreetAt) &&
		(m.Shown < c.token() || m.Up && now.Sub(m.LastReport) > seconds(c.Config.Deployment.Workers.LeaseS))
}

// greet shows the term's token to a machine that runs but has not reported yet,
// so that a new leader need not wait for its next report. A first call with the
// wrong tenure is refused, and the refusal names the right one. A silent machine that
// answers after a lease has begun a new session: it cannot report, but it is there.
func (c *Controller) greet(m *fleet.Machine, now time.Time) {
	if !c.unmet(m, now) {
		return
	}
	m.GreetAt = now.Add(tuning.GreetEvery)
	c.greeting++
	c.do(m, nil, lastSession(m), false, true)
}

// lastSession is the latest session of a machine that is known, from its reports or
// from the records.
func lastSession(m *fleet.Machine) uint64 {
	session := max(m.Session, 1)
	for _, p := range m.Live {
		session = max(session, p.Session)
	}
	return session
}

func (c *Controller) do(m *fleet.Machine, orders []wire.Order, session uint64, starts, greets bool) {
	m.InFlight = true
	if orders == nil {
		orders = []wire.Order{}
	}
	req, addr := wire.DoRequest{Token: m.Token, Session: session, Orders: orders}, m.Addr
	go func() {
		rep, err := c.Worker.Do(c.ctx, addr, req)
		c.send(doMsg{m, rep, starts, greets, err})
	}()
}

func (c *Controller) onDo(d doMsg, now time.Time) {
	d.m.Answered(d.starts, d.err == nil)
	if d.greets {
		c.greeting--
		defer c.greetNext(now)
	}
	c.touched[d.m] = true
	if d.err != nil {
		// The commands may still be executed, even minutes later.
		c.Log.Info("direct command unanswered", "machine", d.m.ID, "err", d.err)
		return
	}
	if d.rep.Token>>tuning.TermShift > c.term.N {
		c.OnTerm(d.rep.Token >> tuning.TermShift)
		return
	}
	if d.rep.Machine == d.m.ID {
		c.observe(d.m, d.rep, now)
		if d.m.Shown < c.token() {
			d.m.GreetAt = now // refused for its tenure, which is known now
			c.greet(d.m, now)
		}
	}
}

func (c *Controller) bootS(m *fleet.Machine) float64 {
	if i, ok := c.typeIdx[m.Type]; ok {
		return c.types[i].BootS
	}
	worst := 0.0
	for _, t := range c.types {
		worst = math.Max(worst, t.BootS)
	}
	return worst
}
