// Package cluster keeps what is known of machines and what may be on them. Its
// one duty for the rules: a placement is released on proof only.
package cluster

import (
	"slices"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// Key names a task of a job.
type Key struct {
	Job  string
	Task int
}

// Placement is a task that may be on a machine.
type Placement struct {
	Key
	Attempt uint64
	Session uint64
	Machine *Machine
	// Recorded: it is in the ledger, so its start may be sent.
	Recorded bool
	// Sent: its start may have left this or an earlier leader.
	Sent bool
	// StartToken is the token that its start was sent with. Copies of the start
	// may arrive at any time until the worker has seen a higher one.
	StartToken uint64
	State      string    // as last reported
	Since      time.Time // of the last change of State
	Stopping   bool      // a stop was ordered
	Grace      float64   // the stop's, in seconds
	StopAt     time.Time // when the stop was first ordered
	ByCommand  bool      // ended because we stopped it
}

// Machine is a rented machine. The leader's actor owns it.
type Machine struct {
	ID, Addr, Type, Zone string
	Spot                 bool

	Session, Seq  uint64    // of the newest report
	heard         stamp     // of the newest report that came by itself
	heardToken    uint64    // the token that it showed
	probe         uint64    // see Again; 0: none
	unheard       int       // reports in a row that show nothing of what was answered
	answered      uint64    // the token in our last answer to a report
	Shown         uint64    // the highest token that the worker has shown
	Token         uint64    // the token we use towards this worker
	Fence         uint64    // the token that it must have shown before it gets new work
	LastReport    time.Time // a report or a direct command's answer
	LastOwnReport time.Time // a report that came by itself, or when it became known
	LeaseEnd      time.Time // after it, what was on it in its session is gone
	Lapsed        uint64    // the session that has surely ended
	NoticeEnd     time.Time // when the cloud takes it; zero: no notice
	Rented        time.Time
	IdleSince     time.Time
	GPUsIdle      time.Time // since when no GPU has been in use
	RestUntil     time.Time
	HandshakeAt   time.Time // no handshake before
	Up            bool      // has reported
	Leaving       bool      // is being given back
	InFlight      bool      // a direct command is under way
	Unanswered    int       // direct commands in a row without an answer or a report since
	UnknownTasks  int       // reported tasks that we have no record of and that still run
	Faulty        bool
	WasUsable     bool // as last looked at

	Live     map[Key]*Placement
	Reported []Reported
	Outbox   []*Placement       // recorded, to be sent
	reborn   bool               // its next report is the first of a new life
	matched  bool               // the newest report lists just what is live, and nothing of it has changed since
	started  map[attempt]uint64 // tokens of the starts of what is listed or live
	failed   map[string]bool
	images   []image // most recent first
	names    []string
}

// stamp orders the reports of a worker.
type stamp struct{ session, seq uint64 }

func (s stamp) before(o stamp) bool {
	return s.session < o.session || (s.session == o.session && s.seq < o.seq)
}

// Reported is a task in a worker's newest report.
type Reported struct {
	protocol.TaskStatus
	Of Key
	OK bool // its name could be read
}

type attempt struct {
	Key
	n uint64
}

type image struct {
	name string
	gb   float64
}

// New makes a machine known by its name only.
// The token is the first of the present term.
func New(id string, token uint64, now time.Time, leaseEnd time.Time) *Machine {
	return &Machine{ID: id, Token: token, Fence: token, started: map[attempt]uint64{}, Rented: now, LastOwnReport: now, IdleSince: now, GPUsIdle: now, LeaseEnd: leaseEnd,
		Live: map[Key]*Placement{}, failed: map[string]bool{}}
}

// Heard tells whether a report that came by itself is newer than all before it.
// One that is not is a late copy, which proves nothing, or comes from a worker
// that began anew, counting from the start. A worker has one report under way at
// a time, so between reports that came by themselves there is no other reason.
func (m *Machine) Heard(r *protocol.Heartbeat) bool {
	at := stamp{r.Incarnation, r.Sequence}
	if !m.heard.before(at) {
		return false
	}
	// A worker that hears us shows a higher token soon after it was answered.
	if m.answered > r.Token && m.heardToken == r.Token {
		m.unheard++
	} else {
		m.unheard = 0
	}
	m.heard, m.heardToken = at, r.Token
	if r.Token >= m.probe {
		m.probe = 0 // the worker we know has seen it, so it proves nothing more
	}
	return true
}

// Answer notes that a report is answered with the machine's token.
func (m *Machine) Answer() { m.answered = m.Token }

// Deaf tells whether the worker's reports arrive while our answers do not reach
// it. That we answered proves nothing then: its lease is running out.
func (m *Machine) Deaf() bool { return m.unheard >= tuning.OneWayPartitionHeartbeats }

// Again takes in a report that is not newer than others. To tell a late copy
// from a worker that began anew, the answer carries a token never sent before;
// only a worker that is there and counts from the start can show it in a report
// that looks old. It returns true if that is proved: then all that its former
// life ran is gone, and its counters count from here.
func (m *Machine) Again(r *protocol.Heartbeat) bool {
	switch {
	case m.probe == 0:
		m.Token++
		m.probe = m.Token
		return false
	case r.Token < m.probe:
		return false
	}
	m.Session, m.Seq, m.Lapsed, m.heard, m.probe = 0, 0, 0, stamp{r.Incarnation, r.Sequence}, 0
	m.reborn = true
	return true
}

// Settled tells whether the outcomes of all commands sent here are known.
func (m *Machine) Settled() bool { return !m.InFlight && m.Up && m.Shown >= m.Fence }

// Start notes that a placement's start is about to be sent.
func (m *Machine) Start(p *Placement) {
	m.matched = false
	p.Sent, p.StartToken = true, m.Token
	m.started[attempt{p.Key, p.Attempt}] = m.Token
}

// MayForget tells whether an ended attempt may be forgotten by the worker: not
// while a start of it could still arrive, late or as a copy, and run it again.
func (m *Machine) MayForget(k Key, n uint64) bool {
	return !m.InFlight && m.Shown >= m.base() && m.Shown > m.started[attempt{k, n}]
}

// base is the first token of the present term.
func (m *Machine) base() uint64 { return m.Token >> tuning.TermShift << tuning.TermShift }

// Usable tells whether new work may be placed. A machine that answers commands but
// reports nothing by itself is answered nothing, so its lease runs out whatever is
// started there.
func (m *Machine) Usable(now time.Time, silent time.Duration) bool {
	return m.Settled() && !m.Deaf() && !m.Leaving && !m.Faulty && m.UnknownTasks == 0 && m.Session > m.Lapsed &&
		m.NoticeEnd.IsZero() && now.After(m.RestUntil) && now.Sub(m.LastReport) <= silent && now.Sub(m.LastOwnReport) <= silent
}

// Ended is a placement that is over, with the cause the worker gave, or "" when
// it is gone without a word.
type Ended struct {
	*Placement
	Cause string
	Saved bool
}

// Observe takes in a report and returns the placements that it ends. A report
// that is not newer than the last one changes nothing: fresh is false. A session
// that began by now may last until leaseEnd without any answer of ours.
//
// A placement ends on one of these proofs only: the worker lists its attempt as exited;
// a later session, or a new life; or its absence, once no start of it can arrive any
// more.
func (m *Machine) Observe(r *protocol.Heartbeat, parse func(string) (Key, bool), now, leaseEnd time.Time) (ended []Ended, fresh bool) {
	if r.Incarnation < m.Session || (r.Incarnation == m.Session && r.Sequence <= m.Seq) || r.Incarnation <= m.Lapsed {
		return nil, false
	}
	newSession := r.Incarnation > m.Session
	known := m.Session > 0
	if r.Token >= m.probe {
		m.probe = 0
	}
	same := !newSession && m.matched && r.Token == m.Shown && m.sameTasks(r.Tasks)
	m.takeHeader(r, now)
	if same {
		return nil, true // most reports: hundreds a second at a large site
	}
	if newSession {
		ended = m.beginSession(r.Incarnation, known, leaseEnd)
	}
	shown := m.takeTasks(r, parse)
	ended = append(ended, m.endedBy(shown, now)...)
	m.forgetStarts()
	return ended, true
}

// takeHeader takes in what a report says of the machine itself.
func (m *Machine) takeHeader(r *protocol.Heartbeat, now time.Time) {
	m.Addr, m.Type, m.Zone, m.Spot = r.Addr, r.MachineType, r.Zone, r.Spot
	m.Session, m.Seq, m.Up, m.LastReport, m.Unanswered = r.Incarnation, r.Sequence, true, now, 0
	m.Shown = max(m.Shown, r.Token)
	m.NoticeEnd = time.Time{}
	if r.PreemptionNoticeS != nil {
		m.NoticeEnd = now.Add(time.Duration(*r.PreemptionNoticeS * float64(time.Second)))
	}
}

// beginSession ends what earlier sessions ran: a higher tenure proves that all of that
// is gone and that commands still under way for it will be refused. So does a new life,
// whatever its count: the token that it shows was not sent before, and commands of the
// former life carry lower ones. known tells whether there was a session before.
func (m *Machine) beginSession(session uint64, known bool, leaseEnd time.Time) (ended []Ended) {
	for _, p := range m.Live {
		if p.Session < session || (m.reborn && p.Session > session) {
			ended = append(ended, Ended{Placement: p})
		}
	}
	// A session that ends takes the tasks, not the images, but a new life may
	// be an empty machine's.
	if m.reborn {
		m.images, m.names = nil, nil
	}
	// That it lost its lease although its reports were answered shows that
	// answers do not reach it: it must show a new token before new work.
	if known || m.reborn {
		m.Token++
		m.Fence = m.Token
	}
	m.reborn = false
	// The lease of a new session counts from its beginning. Without this a
	// worker that was reached by direct commands only had its new session
	// taken for over with the old one, and its tasks were started twice.
	if leaseEnd.After(m.LeaseEnd) {
		m.LeaseEnd = leaseEnd
	}
	return ended
}

// takeTasks takes in the tasks that a report lists and returns those that are known.
func (m *Machine) takeTasks(r *protocol.Heartbeat, parse func(string) (Key, bool)) map[Key]*protocol.TaskStatus {
	m.Reported = make([]Reported, len(r.Tasks))
	m.UnknownTasks = 0
	shown := make(map[Key]*protocol.TaskStatus, len(r.Tasks))
	for i := range r.Tasks {
		key, ok := parse(r.Tasks[i].Task)
		m.Reported[i] = Reported{r.Tasks[i], key, ok}
		if m.known(&m.Reported[i]) {
			shown[key] = &r.Tasks[i]
		} else if r.Tasks[i].State != protocol.TaskExited {
			m.UnknownTasks++
		}
	}
	return shown
}

// endedBy draws the conclusions from the known tasks of the newest report for the
// placements of its session.
func (m *Machine) endedBy(shown map[Key]*protocol.TaskStatus, now time.Time) (ended []Ended) {
	m.matched = true
	for key, p := range m.Live {
		if p.Session != m.Session {
			continue
		}
		t := shown[key]
		switch {
		case t != nil && t.State == protocol.TaskExited:
			// The worker ignores a repeated start as long as it lists the
			// attempt, so the placement is over although a start may be late.
			ended = append(ended, Ended{Placement: p, Cause: t.ExitReason, Saved: t.Checkpointed})
		case t != nil:
			p.Sent = true
			if p.State != t.State {
				p.State, p.Since = t.State, now
			}
		case p.Sent && !m.InFlight && m.Shown > p.StartToken:
			// Absent: proof only once no start of it can arrive any more.
			ended = append(ended, Ended{Placement: p})
		default:
			m.matched = false // its absence may come to prove something
		}
	}
	return ended
}

// forgetStarts forgets the tokens of starts of what is neither live nor listed.
func (m *Machine) forgetStarts() {
	for a := range m.started {
		listed := func(t Reported) bool { return t.OK && t.Of == a.Key && t.Attempt == a.n }
		if m.Live[a.Key] == nil && !slices.ContainsFunc(m.Reported, listed) {
			delete(m.started, a)
		}
	}
}

// known tells whether a reported task is one that the records place here.
func (m *Machine) known(t *Reported) bool {
	p := m.Live[t.Of]
	return t.OK && p != nil && p.Attempt == t.Attempt && p.Session == m.Session
}

// Unknown lists the tasks in the newest report that still run and that no record
// places here.
func (m *Machine) Unknown() (out []Reported) {
	for i := range m.Reported {
		if t := &m.Reported[i]; t.State != protocol.TaskExited && !m.known(t) {
			out = append(out, *t)
		}
	}
	return out
}

func (m *Machine) sameTasks(ts []protocol.TaskStatus) bool {
	return slices.EqualFunc(m.Reported, ts, func(a Reported, b protocol.TaskStatus) bool { return a.TaskStatus == b })
}

// Lapse ends everything of a session whose lease is surely over.
func (m *Machine) Lapse(now time.Time) (ended []Ended) {
	if !now.After(m.LeaseEnd) {
		return nil
	}
	for _, p := range m.Live {
		ended = append(ended, Ended{Placement: p})
		m.Lapsed = max(m.Lapsed, p.Session)
	}
	m.Lapsed = max(m.Lapsed, m.Session)
	return ended
}

// Drop forgets a placement that is over.
func (m *Machine) Drop(p *Placement, now time.Time) {
	if m.Live[p.Key] == p {
		m.matched = false
		delete(m.Live, p.Key)
		if len(m.Live) == 0 {
			m.IdleSince = now
		}
	}
}

// Answered notes how a direct command with or without starts went. The higher
// token that follows makes the worker refuse late ones and copies of it once it
// was shown. If the outcome is unknown, no new work is given before that.
func (m *Machine) Answered(starts, known bool) {
	m.InFlight = false
	if known {
		m.Unanswered = 0
	} else {
		m.Unanswered++
	}
	if starts || !known {
		m.Token++
	}
	if !known {
		m.Fence = m.Token
	}
}

// Failed notes that a task of a job failed here. Different jobs failing on one
// machine show that it is the machine.
func (m *Machine) Failed(job string) {
	m.failed[job] = true
	m.Faulty = len(m.failed) >= tuning.QuarantineJobs
}

// TouchImage notes that an image is on the machine, and forgets the least
// recently used ones beyond the cache's size.
func (m *Machine) TouchImage(name string, gb, cacheGB float64) {
	if len(m.images) > 0 && m.images[0].name == name {
		return
	}
	kept := append(make([]image, 0, len(m.images)+1), image{name, gb})
	sum := gb
	for _, im := range m.images {
		if im.name != name && sum+im.gb <= cacheGB {
			sum += im.gb
			kept = append(kept, im)
		}
	}
	m.images = kept
	m.names = make([]string, len(kept))
	for i := range kept {
		m.names[i] = kept[i].name
	}
}

// EachImage calls f for every image believed to be cached, the most recent first.
func (m *Machine) EachImage(f func(name string, gb float64)) {
	for _, im := range m.images {
		f(im.name, im.gb)
	}
}

// Images names the images that are believed to be cached. The result is not
// changed later.
func (m *Machine) Images() []string { return m.names }
