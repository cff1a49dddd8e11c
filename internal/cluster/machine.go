// Package cluster keeps what is known of machines and what may be on them. Its
// one duty for the rules: a placement is released on proof only.
package cluster

import (
	"slices"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// TaskKey names a task of a job.
type TaskKey struct {
	Job  protocol.JobID
	Task int
}

// Placement is a task that may be on a machine.
type Placement struct {
	TaskKey
	Attempt     uint64
	Incarnation protocol.Incarnation
	Machine     *Machine
	// Recorded: it is in the ledger, so its start may be sent.
	Recorded bool
	// Sent: its start may have left this or an earlier leader.
	Sent bool
	// StartToken is the token that its start was sent with. Copies of the start
	// may arrive at any time until the worker has seen a higher one.
	StartToken    protocol.FencingToken
	State         protocol.TaskState // as last reported
	Since         time.Time          // of the last change of State
	Stopping      bool               // a stop was ordered
	GracePeriodS  float64            // the stop's, in seconds
	StopOrderedAt time.Time          // when the stop was first ordered
}

// Machine is a rented machine. The leader's actor owns it.
type Machine struct {
	ID, Addr, Type, Zone string
	Spot                 bool

	Incarnation        protocol.Incarnation  // of the newest status
	Sequence           uint64                // of the newest status
	lastAccepted       heartbeatID           // of the newest report that came by itself
	lastAcceptedToken  protocol.FencingToken // the token that it showed
	probeToken         protocol.FencingToken // see Again; 0: none
	unacknowledged     int                   // reports in a row that show nothing of what was answered
	answeredToken      protocol.FencingToken // the token in our last answer to a report
	AcknowledgedToken  protocol.FencingToken // the highest token that the worker has shown
	IssuedToken        protocol.FencingToken // the token we use towards this worker
	RequiredToken      protocol.FencingToken // the token that it must have shown before it gets new work
	LastContact        time.Time             // a report or a direct command's answer
	LastHeartbeat      time.Time             // a report that came by itself, or when it became known
	LeaseExpiry        time.Time             // after it, what was on it in its session is gone
	ExpiredIncarnation protocol.Incarnation  // the session that has surely ended
	PreemptionAt       time.Time             // when the cloud takes it; zero: no notice
	ProvisionedAt      time.Time
	IdleSince          time.Time
	GPUIdleSince       time.Time // since when no GPU has been in use
	BackoffUntil       time.Time
	NextHandshake      time.Time // no handshake before
	Up                 bool      // has reported
	Deprovisioning     bool      // is being given back
	CommandInFlight    bool      // a direct command is under way
	UnansweredCommands int       // direct commands in a row without an answer or a report since
	UnknownTaskCount   int       // reported tasks that we have no record of and that still run
	Quarantined        bool
	WasSchedulable     bool // as last looked at

	Placements    map[TaskKey]*Placement
	ReportedTasks []ReportedTask
	Outbox        []*Placement                         // recorded, to be sent
	restarted     bool                                 // its next report is the first of a new life
	statusMatches bool                                 // the newest report lists just what is live, and nothing of it has changed since
	startTokens   map[attemptKey]protocol.FencingToken // tokens of the starts of what is listed or live
	failedJobs    map[protocol.JobID]bool
	images        []cachedImage // most recent first
	imageNames    []string
}

// heartbeatID orders the reports of a worker.
type heartbeatID struct {
	incarnation protocol.Incarnation
	sequence    uint64
}

func (id heartbeatID) before(other heartbeatID) bool {
	return id.incarnation < other.incarnation || (id.incarnation == other.incarnation && id.sequence < other.sequence)
}

// ReportedTask is a task in a worker's newest report.
type ReportedTask struct {
	protocol.TaskStatus
	Key    TaskKey
	Parsed bool // its name could be read
}

type attemptKey struct {
	TaskKey
	attempt uint64
}

type cachedImage struct {
	name   string
	sizeGB float64
}

// NewMachine makes a machine known by its name only.
// The token is the first of the present term.
func NewMachine(id string, token protocol.FencingToken, now time.Time, leaseEnd time.Time) *Machine {
	return &Machine{ID: id, IssuedToken: token, RequiredToken: token, startTokens: map[attemptKey]protocol.FencingToken{}, ProvisionedAt: now, LastHeartbeat: now, IdleSince: now, GPUIdleSince: now, LeaseExpiry: leaseEnd,
		Placements: map[TaskKey]*Placement{}, failedJobs: map[protocol.JobID]bool{}}
}

// AcceptHeartbeat tells whether a report that came by itself is newer than all before it.
// One that is not is a late copy, which proves nothing, or comes from a worker
// that began anew, counting from the start. A worker has one report under way at
// a time, so between reports that came by themselves there is no other reason.
func (m *Machine) AcceptHeartbeat(heartbeat *protocol.Heartbeat) bool {
	id := heartbeatID{heartbeat.Incarnation, heartbeat.Sequence}
	if !m.lastAccepted.before(id) {
		return false
	}
	// A worker that hears us shows a higher token soon after it was answered.
	if m.answeredToken > heartbeat.Token && m.lastAcceptedToken == heartbeat.Token {
		m.unacknowledged++
	} else {
		m.unacknowledged = 0
	}
	m.lastAccepted, m.lastAcceptedToken = id, heartbeat.Token
	if heartbeat.Token >= m.probeToken {
		m.probeToken = 0 // the worker we know has seen it, so it proves nothing more
	}
	return true
}

// RecordAnswer notes that a report is answered with the machine's token.
func (m *Machine) RecordAnswer() { m.answeredToken = m.IssuedToken }

// OneWayPartitioned tells whether the worker's reports arrive while our answers do not reach
// it. That we answered proves nothing then: its lease is running out.
func (m *Machine) OneWayPartitioned() bool {
	return m.unacknowledged >= tuning.OneWayPartitionHeartbeats
}

// DetectRestart takes in a report that is not newer than others. To tell a late copy
// from a worker that began anew, the answer carries a token never sent before;
// only a worker that is there and counts from the start can show it in a report
// that looks old. It returns true if that is proved: then all that its former
// life ran is gone, and its counters count from here.
func (m *Machine) DetectRestart(heartbeat *protocol.Heartbeat) bool {
	switch {
	case m.probeToken == 0:
		m.IssuedToken++
		m.probeToken = m.IssuedToken
		return false
	case heartbeat.Token < m.probeToken:
		return false
	}
	m.Incarnation, m.Sequence, m.ExpiredIncarnation, m.lastAccepted, m.probeToken = 0, 0, 0, heartbeatID{heartbeat.Incarnation, heartbeat.Sequence}, 0
	m.restarted = true
	return true
}

// CommandsResolved tells whether the outcomes of all commands sent here are known.
func (m *Machine) CommandsResolved() bool {
	return !m.CommandInFlight && m.Up && m.AcknowledgedToken >= m.RequiredToken
}

// RecordStart notes that a placement's start is about to be sent.
func (m *Machine) RecordStart(placement *Placement) {
	m.statusMatches = false
	placement.Sent, placement.StartToken = true, m.IssuedToken
	m.startTokens[attemptKey{placement.TaskKey, placement.Attempt}] = m.IssuedToken
}

// MayRelease tells whether an ended attempt may be forgotten by the worker: not
// while a start of it could still arrive, late or as a copy, and run it again.
func (m *Machine) MayRelease(key TaskKey, attempt uint64) bool {
	return !m.CommandInFlight && m.AcknowledgedToken >= m.firstTokenOfTerm() && m.AcknowledgedToken > m.startTokens[attemptKey{key, attempt}]
}

// firstTokenOfTerm is the first token of the present term.
func (m *Machine) firstTokenOfTerm() protocol.FencingToken {
	return m.IssuedToken.Term().FirstToken()
}

// Schedulable tells whether new work may be placed. A machine that answers commands but
// reports nothing by itself is answered nothing, so its lease runs out whatever is
// started there.
func (m *Machine) Schedulable(now time.Time, maxSilence time.Duration) bool {
	return m.CommandsResolved() && !m.OneWayPartitioned() && !m.Deprovisioning && !m.Quarantined && m.UnknownTaskCount == 0 && m.Incarnation > m.ExpiredIncarnation &&
		m.PreemptionAt.IsZero() && now.After(m.BackoffUntil) && now.Sub(m.LastContact) <= maxSilence && now.Sub(m.LastHeartbeat) <= maxSilence
}

// EndedPlacement is a placement that is over, with the cause the worker gave, or "" when
// it is gone without a word.
type EndedPlacement struct {
	*Placement
	ExitReason protocol.ExitReason
}

// ApplyStatus takes in a report and returns the placements that it ends. A report
// that is not newer than the last one changes nothing: fresh is false. A session
// that began by now may last until leaseEnd without any answer of ours.
//
// A placement ends on one of these proofs only: the worker lists its attempt as exited;
// a later session, or a new life; or its absence, once no start of it can arrive any
// more.
func (m *Machine) ApplyStatus(status *protocol.Heartbeat, parse func(string) (TaskKey, bool), now, leaseEnd time.Time) (ended []EndedPlacement, fresh bool) {
	if status.Incarnation < m.Incarnation || (status.Incarnation == m.Incarnation && status.Sequence <= m.Sequence) || status.Incarnation <= m.ExpiredIncarnation {
		return nil, false
	}
	newIncarnation := status.Incarnation > m.Incarnation
	hadIncarnation := m.Incarnation > 0
	if status.Token >= m.probeToken {
		m.probeToken = 0
	}
	unchanged := !newIncarnation && m.statusMatches && status.Token == m.AcknowledgedToken && m.matchesTasks(status.Tasks)
	m.applyHeader(status, now)
	if unchanged {
		return nil, true // most reports: hundreds a second at a large site
	}
	if newIncarnation {
		ended = m.beginIncarnation(status.Incarnation, hadIncarnation, leaseEnd)
	}
	listed := m.indexTasks(status, parse)
	ended = append(ended, m.endedPlacements(listed, now)...)
	m.pruneStartTokens()
	return ended, true
}

// applyHeader takes in what a report says of the machine itself.
func (m *Machine) applyHeader(status *protocol.Heartbeat, now time.Time) {
	m.Addr, m.Type, m.Zone, m.Spot = status.Addr, status.MachineType, status.Zone, status.Spot
	m.Incarnation, m.Sequence, m.Up, m.LastContact, m.UnansweredCommands = status.Incarnation, status.Sequence, true, now, 0
	m.AcknowledgedToken = max(m.AcknowledgedToken, status.Token)
	m.PreemptionAt = time.Time{}
	if status.PreemptionNoticeS != nil {
		m.PreemptionAt = now.Add(time.Duration(*status.PreemptionNoticeS * float64(time.Second)))
	}
}

// beginIncarnation ends what earlier sessions ran: a higher tenure proves that all of that
// is gone and that commands still under way for it will be refused. So does a new life,
// whatever its count: the token that it shows was not sent before, and commands of the
// former life carry lower ones. hadIncarnation tells whether there was a session before.
func (m *Machine) beginIncarnation(incarnation protocol.Incarnation, hadIncarnation bool, leaseEnd time.Time) (ended []EndedPlacement) {
	for _, placement := range m.Placements {
		if placement.Incarnation < incarnation || (m.restarted && placement.Incarnation > incarnation) {
			ended = append(ended, EndedPlacement{Placement: placement})
		}
	}
	// A session that ends takes the tasks, not the images, but a new life may
	// be an empty machine's.
	if m.restarted {
		m.images, m.imageNames = nil, nil
	}
	// That it lost its lease although its reports were answered shows that
	// answers do not reach it: it must show a new token before new work.
	if hadIncarnation || m.restarted {
		m.IssuedToken++
		m.RequiredToken = m.IssuedToken
	}
	m.restarted = false
	// The lease of a new session counts from its beginning. Without this a
	// worker that was reached by direct commands only had its new session
	// taken for over with the old one, and its tasks were started twice.
	if leaseEnd.After(m.LeaseExpiry) {
		m.LeaseExpiry = leaseEnd
	}
	return ended
}

// indexTasks takes in the tasks that a report lists and returns those that are known.
func (m *Machine) indexTasks(status *protocol.Heartbeat, parse func(string) (TaskKey, bool)) map[TaskKey]*protocol.TaskStatus {
	m.ReportedTasks = make([]ReportedTask, len(status.Tasks))
	m.UnknownTaskCount = 0
	listed := make(map[TaskKey]*protocol.TaskStatus, len(status.Tasks))
	for i := range status.Tasks {
		key, parsed := parse(status.Tasks[i].Task)
		m.ReportedTasks[i] = ReportedTask{status.Tasks[i], key, parsed}
		if m.isRecorded(&m.ReportedTasks[i]) {
			listed[key] = &status.Tasks[i]
		} else if status.Tasks[i].State != protocol.TaskExited {
			m.UnknownTaskCount++
		}
	}
	return listed
}

// endedPlacements draws the conclusions from the known tasks of the newest report for the
// placements of its session.
func (m *Machine) endedPlacements(listed map[TaskKey]*protocol.TaskStatus, now time.Time) (ended []EndedPlacement) {
	m.statusMatches = true
	for key, placement := range m.Placements {
		if placement.Incarnation != m.Incarnation {
			continue
		}
		status := listed[key]
		switch {
		case status != nil && status.State == protocol.TaskExited:
			// The worker ignores a repeated start as long as it lists the
			// attempt, so the placement is over although a start may be late.
			ended = append(ended, EndedPlacement{Placement: placement, ExitReason: status.ExitReason})
		case status != nil:
			placement.Sent = true
			if placement.State != status.State {
				placement.State, placement.Since = status.State, now
			}
		case placement.Sent && !m.CommandInFlight && m.AcknowledgedToken > placement.StartToken:
			// Absent: proof only once no start of it can arrive any more.
			ended = append(ended, EndedPlacement{Placement: placement})
		default:
			m.statusMatches = false // its absence may come to prove something
		}
	}
	return ended
}

// pruneStartTokens forgets the tokens of starts of what is neither live nor listed.
func (m *Machine) pruneStartTokens() {
	for start := range m.startTokens {
		listed := func(task ReportedTask) bool {
			return task.Parsed && task.Key == start.TaskKey && task.Attempt == start.attempt
		}
		if m.Placements[start.TaskKey] == nil && !slices.ContainsFunc(m.ReportedTasks, listed) {
			delete(m.startTokens, start)
		}
	}
}

// isRecorded tells whether a reported task is one that the records place here.
func (m *Machine) isRecorded(task *ReportedTask) bool {
	placement := m.Placements[task.Key]
	return task.Parsed && placement != nil && placement.Attempt == task.Attempt && placement.Incarnation == m.Incarnation
}

// UnknownTasks lists the tasks in the newest report that still run and that no record
// places here.
func (m *Machine) UnknownTasks() (unknown []ReportedTask) {
	for i := range m.ReportedTasks {
		if task := &m.ReportedTasks[i]; task.State != protocol.TaskExited && !m.isRecorded(task) {
			unknown = append(unknown, *task)
		}
	}
	return unknown
}

func (m *Machine) matchesTasks(tasks []protocol.TaskStatus) bool {
	return slices.EqualFunc(m.ReportedTasks, tasks, func(known ReportedTask, task protocol.TaskStatus) bool { return known.TaskStatus == task })
}

// ExpireLease ends everything of a session whose lease is surely over.
func (m *Machine) ExpireLease(now time.Time) (ended []EndedPlacement) {
	if !now.After(m.LeaseExpiry) {
		return nil
	}
	for _, placement := range m.Placements {
		ended = append(ended, EndedPlacement{Placement: placement})
		m.ExpiredIncarnation = max(m.ExpiredIncarnation, placement.Incarnation)
	}
	m.ExpiredIncarnation = max(m.ExpiredIncarnation, m.Incarnation)
	return ended
}

// RemovePlacement forgets a placement that is over.
func (m *Machine) RemovePlacement(placement *Placement, now time.Time) {
	if m.Placements[placement.TaskKey] == placement {
		m.statusMatches = false
		delete(m.Placements, placement.TaskKey)
		if len(m.Placements) == 0 {
			m.IdleSince = now
		}
	}
}

// RecordCommandOutcome notes how a direct command with or without starts went. The higher
// token that follows makes the worker refuse late ones and copies of it once it
// was shown. If the outcome is unknown, no new work is given before that.
func (m *Machine) RecordCommandOutcome(hadStarts, known bool) {
	m.CommandInFlight = false
	if known {
		m.UnansweredCommands = 0
	} else {
		m.UnansweredCommands++
	}
	if hadStarts || !known {
		m.IssuedToken++
	}
	if !known {
		m.RequiredToken = m.IssuedToken
	}
}

// RecordTaskFailure notes that a task of a job failed here. Different jobs failing on one
// machine show that it is the machine.
func (m *Machine) RecordTaskFailure(jobID protocol.JobID) {
	m.failedJobs[jobID] = true
	m.Quarantined = len(m.failedJobs) >= tuning.QuarantineJobs
}

// RecordImageUse notes that an image is on the machine, and forgets the least
// recently used ones beyond the cache's size.
func (m *Machine) RecordImageUse(name string, sizeGB, cacheGB float64) {
	if len(m.images) > 0 && m.images[0].name == name {
		return
	}
	kept := append(make([]cachedImage, 0, len(m.images)+1), cachedImage{name, sizeGB})
	usedGB := sizeGB
	for _, image := range m.images {
		if image.name != name && usedGB+image.sizeGB <= cacheGB {
			usedGB += image.sizeGB
			kept = append(kept, image)
		}
	}
	m.images = kept
	m.imageNames = make([]string, len(kept))
	for i := range kept {
		m.imageNames[i] = kept[i].name
	}
}

// EachImage calls visit for every image believed to be cached, the most recent first.
func (m *Machine) EachImage(visit func(name string, sizeGB float64)) {
	for _, image := range m.images {
		visit(image.name, image.sizeGB)
	}
}

// Images names the images that are believed to be cached. The result is not
// changed later.
func (m *Machine) Images() []string { return m.imageNames }
