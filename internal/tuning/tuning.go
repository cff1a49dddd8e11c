// Package tuning holds every constant of the service, with its unit and the
// reason for its value. What operators may change is in config.Operator.
package tuning

import "time"

const (
	// MaxBody is the largest request body that PROTOCOL permits, in bytes.
	MaxBody = 64 << 10
	// MaxPieces is the largest number of tasks of a job (PROTOCOL, submission).
	MaxPieces = 100000
	// MaxName bounds names taken from users, in bytes: with a prefix they must
	// still fit in a state service key of 200 bytes.
	MaxName = 150

	// StateTimeout ends a state service call. Answers usually take under 10 ms
	// and now and then a few hundred, so this is well past the slow ones.
	StateTimeout = 1500 * time.Millisecond
	// PollDeadline ends the work for a poll, whose user waits for 2 s in all.
	PollDeadline = 1700 * time.Millisecond
	// UserDeadline ends the work for one user request: a submission waits 5 s.
	UserDeadline = 3500 * time.Millisecond
	// UserRetryPause lies between two tries after a 429 of the state service;
	// a bucket of 25 changes a second refills by two in this time.
	UserRetryPause = 60 * time.Millisecond
	// UserThrottleTries is how often a throttled user request is tried before
	// it is refused with 503: together under the 200 ms of the submission aim.
	UserThrottleTries = 3
	// PollThrottleTries is the same for a poll, which has 2 s and, unlike a
	// submission, comes again only seconds later.
	PollThrottleTries = 15
	// RetryBudget is how many retries of throttled requests a node may make beyond
	// RetryShare for each request that succeeds: enough for a burst of submissions,
	// while lasting overload is not made worse by more than that share.
	RetryBudget = 60.0
	RetryShare  = 0.2
	// RetryAfterS tells refused users when to come back, in seconds.
	RetryAfterS = 1
	// GrantLife is the life of the leader's grant: a dead leader is noticed
	// this late at most. Short enough for quick takeovers, long enough that a
	// process held up at a tenth of a core keeps it.
	GrantLife = 1500 * time.Millisecond
	// GrantTouch is the pause between renewals of the grant: three tries fit.
	GrantTouch = 400 * time.Millisecond
	// TouchesAtOnce is how many renewals may be under way at once: with StateTimeout
	// for each, one goes out every GrantTouch whatever became of those before.
	TouchesAtOnce = 4
	// ElectionRetry is the pause after a failed attempt to take the term.
	ElectionRetry = 250 * time.Millisecond
	// FollowHold is how long a follow call is held open. Its return is also the
	// proof that the leader has seen all cancellations up to its start.
	FollowHold = 1000 * time.Millisecond
	// FollowGrace is added to FollowHold before a silent follow is given up.
	FollowGrace = 1500 * time.Millisecond
	// RereadEvery is the pause between complete readings of the open jobs beside
	// the follow, well within the 75 s after which a job counts as forgotten.
	RereadEvery = 30 * time.Second
	// LeaderFollowHold is the hold of the followers' watch on the leader key.
	LeaderFollowHold = 1000 * time.Millisecond

	// StartAuthority is how old the last proof of authority may be when a start
	// is planned. Starts are fenced by the commit before them; this only avoids
	// work that must fail.
	StartAuthority = 3 * time.Second
	// LeaderLeaseMargin is kept between the end of a leader's right to answer
	// reports plus a lease, and cancel_s: drift, report delay and kill time.
	LeaderLeaseMargin = 2 * time.Second
	// AckJobs is how many jobs a node remembers that it told users are cancelled,
	// for a leader without state service: some seconds' worth of all the changes
	// that a large site's state service takes, and less than MaxBody together.
	AckJobs = 1000
	// LeaseMargin is added to a lease before its tasks count as gone: report
	// transit, timer steps and the 4 s after which workers drop an answer.
	LeaseMargin = 1 * time.Second
	// DriftShare is the largest difference between two steady clocks' speeds.
	DriftShare = 0.001

	// TermShift separates the term (high) from a machine's bump (low).
	TermShift = 24

	// PassGap is the least time between two decision passes; events within it
	// are decided together.
	PassGap = 25 * time.Millisecond
	// PassPause times what the last pass took is the least time to the next,
	// so that passes take at most a fifth of the process's time.
	PassPause = 4
	// PassGapMax bounds that pause: services should start within a second.
	PassGapMax = 400 * time.Millisecond
	// MustBegin is when even the largest jobs must have begun, in seconds (the
	// operators' rule).
	MustBegin = 240.0
	// OverdueMargin is how long before that a job goes first, in seconds: about a
	// boot, or the time in which a few hundred small tasks end.
	OverdueMargin = 40.0
	// GatherSlack times the time in which as many machines fall free is allowed
	// for a gang to gather, since others gather as well.
	GatherSlack = 2.0
	// OverdueLeast is the least that a job waits, in seconds: a boot, for work
	// just rented for.
	OverdueLeast = 30.0
	// OverdueShareIdle is the part of the held machines' cores that the lowest
	// rank may have while its overdue jobs go before others' work.
	OverdueShareIdle = 0.4
	// OverdueShare is the part of the held machines kept for such jobs at most,
	// beyond one job: the others must be served as well.
	OverdueShare = 0.5
	// FetchAheadS is how many seconds of image fetches may be under way on a
	// machine when a task with another image is put on it.
	FetchAheadS = 4.0
	// TickEvery drives everything that depends on time alone.
	TickEvery = 500 * time.Millisecond
	// CompletionDelay is how long completions of parts of a job may wait for
	// others before they are recorded. Until then the worker keeps them.
	CompletionDelay = 2 * time.Second
	// CommitBytes bounds a commit, in bytes as JSON, under the 64 KiB limit.
	CommitBytes = 48 << 10
	// LeaderWriteShare is the leader's part of the changes a second; the rest
	// is left for submissions and cancellations on all nodes.
	LeaderWriteShare = 0.7
	// HintEvery is the pause between writes of what is known of images, of as many
	// machines as fit in a value, HintMachines at most, and HintImages images each:
	// one change of the dozen that a leader has in a second, in 2.5 s.
	HintEvery    = 2500 * time.Millisecond
	HintMachines = 300
	HintImages   = 16
	// HintBytes is more than a machine or an image takes in a hint beside its name,
	// in bytes as JSON: quotes, brackets and the image's size. HintIndexBytes is what
	// the index of an image takes.
	HintBytes      = 28
	HintIndexBytes = 4
	// ConflictGiveUp is for how long every commit may be refused for its guards
	// before the leader gives up its term: the event of a cancellation, the usual
	// cause, comes within a follow call.
	ConflictGiveUp = 5 * time.Second
	// RecordEntryBytes is what a placement takes in a job's record at the most,
	// in bytes as JSON; it bounds a job's tasks in flight by value_kb while all
	// of them are kept in one record.
	RecordEntryBytes = 48
	// PieceTasks is how many tasks share one piece of a run record. It is part of
	// the record format and must never change: with ValueLeastKB it leaves 60
	// bytes for a task, more than RecordEntryBytes.
	PieceTasks = 32
	// PiecesRead is how many pieces of a job a poll reads; its counts of tasks are
	// for display, and it reads no more for jobs of thousands of tasks.
	PiecesRead = 32
	// ValueLeastKB is the smallest value limit to serve with, in KiB: a piece of a
	// run record must fit.
	ValueLeastKB = 2.0
	// TxnOpsLeast is the smallest transaction to serve with: a job's open and
	// final records and a piece of its run record, and one change beside them.
	TxnOpsLeast = 4
	// TxnGuards is how many conditions a transaction may have for each change.
	TxnGuards = 4
	// TxnEntryBytes is what a condition or a change takes in a transaction beside
	// its value, in bytes as JSON: its key, field names and a version.
	TxnEntryBytes = 120
	// TxnBytes is the largest transaction in bytes as JSON.
	TxnBytes = 64 << 10
	// DependenciesMost bounds the jobs that one job may wait for: their names must
	// fit in its record, with ids of the largest form in 30 bytes each, and in
	// one transaction's conditions. Pipelines have a handful.
	DependenciesMost = 32
	// DependencyReads bounds the jobs that jobs wait for which are read one by one, for
	// an answer and by a node within DependencyCheckShare of cancel_s: a few pipelines'
	// worth. For more, all open jobs are read at once, which takes some pages.
	DependencyReads = 64
	// DependencyCheckShare is the part of cancel_s for which a node relies on what it
	// last knew of a job and of those that it waits for: whoever was told that one of
	// them is cancelled must hear the same of the dependents within cancel_s.
	DependencyCheckShare = 0.25
	// LookupEvery is the pause between two readings of the final records of
	// dependencies that are not open, and LookupsAtOnce how many are read in a
	// turn: a small part of the requests of a second.
	LookupEvery   = time.Second
	LookupsAtOnce = 20
	// OutcomeCache is how many final phases a leader remembers for jobs that wait
	// for others (about 60 bytes each).
	OutcomeCache = 20000
	// VersionEvery is the pause between checks of the controllers' versions while
	// an upgrade is under way.
	VersionEvery = 2 * time.Second

	// DoTimeout ends a direct command. Workers answer at once unless they hang.
	DoTimeout = 2 * time.Second
	// HandshakeEvery is the pause between attempts to reach a machine that has not
	// seen the term's token; its own report comes within a few seconds anyway.
	HandshakeEvery = 2 * time.Second
	// WorkerRetry is what a worker takes to find out that a node does not answer
	// and to try another: PROTOCOL's 4 s and 1 s.
	WorkerRetry = 5 * time.Second
	// UnheardReports is for how many report intervals a leader may hear less than
	// HeardShare of the machines, if it knows at least UnheardLeast, before it
	// leaves its term to another node. Reports come every 0.75 to 1.25 intervals,
	// and what is left of a lease must be enough for workers to find the next
	// leader. In a cut zone the rest of the machines is heard.
	UnheardReports = 1.5
	HeardShare     = 0.1
	UnheardLeast   = 3
	// StepDown is how long such a node leaves the term to the others: some tries
	// of theirs.
	StepDown = 5 * time.Second
	// SilentReports is how many report intervals may pass before a machine is
	// not given new work.
	SilentReports = 2.6
	// SilentLost is how many report intervals a silent machine that answers no
	// direct call either is waited for, if what is on it can wait; reports come
	// every 0.75 to 1.25 intervals, and after a lost one in about 5 s.
	SilentLost = 3.5
	// DeafFew is the share of machines that may be deaf at once to be given back.
	DeafFew = 0.1
	// SilentCalls is how many direct calls in a row a machine that is silent for
	// one and a half report intervals must leave unanswered, DoTimeout each, to
	// count as lost. One may be lost itself.
	SilentCalls = 2
	// SilentZone is the share of a zone's machines that may be silent for that:
	// beyond it the zone or the link to it is cut, and the work goes on there.
	SilentZone = 0.4
	// DeafReports is how many reports in a row may show nothing of a higher token
	// that the ones before were answered with: one answer may be lost or late.
	DeafReports = 3
	// SilentReturn is how long after its lease a silent machine is given back:
	// a cut often ends within this time, a dead one costs money.
	SilentReturn = 20 * time.Second
	// MuteReturn is how long a machine that answers commands may report nothing by
	// itself before it is given back all the same: it can do no work. Longer than
	// what keeps workers from connecting usually lasts, since it is often many of
	// them, and to rent as many anew takes a boot and the cloud's calls.
	MuteReturn = 4 * time.Minute
	// MachineBackoff rests a machine that refused a start.
	MachineBackoff = 2 * time.Second
	// FaultyJobs is how many different jobs must fail on a machine before it is
	// taken for faulty: one alone may be the job's own mistake.
	FaultyJobs = 2
	// ErrorBackoff and ErrorBackoffMax rest a job whose task failed.
	ErrorBackoff    = 2 * time.Second
	ErrorBackoffMax = 30 * time.Second
	// SaveMargin is added to flushS when a task is told to save.
	SaveMargin = 1.0 // seconds
	// NoticeMargin is how long before the end of a notice a save must be over.
	NoticeMargin = 4.0 // seconds

	// CloudTimeout ends a cloud call; usual answers take about 100 ms.
	CloudTimeout = 4 * time.Second
	// CloudBurst is how many seconds' worth of calls may be made at once; the
	// cloud allows two.
	CloudBurst = 1.5
	// CloudTick is the pause between cloud list calls, within the call budget.
	CloudTick = 3 * time.Second
	// ListLags times the lag of the cloud's list is how long a machine that was given
	// back may still be named there: twice the lag at times, and a list's pages wait
	// for their turn among the calls.
	ListLags = 6
	// StatePage is how many keys a page of a list of the state service holds at most
	// (PROTOCOL).
	StatePage = 1000
	// ListShare is the part of the calls that may be made that goes into lists.
	ListShare = 0.25
	// CatalogEvery refreshes prices; they move slowly.
	CatalogEvery = 30 * time.Second
	// RentMax and ReturnMax are the limits of PROTOCOL on one call.
	RentMax   = 50
	ReturnMax = 100
	ListMax   = 500
	// OffersAtOnce is for how many offers the cloud is asked at once: about what
	// it answers in a second or two.
	OffersAtOnce = 6
	// NoCapacityBackoff and its maximum rest a type, zone and kind after a
	// refusal. Capacity comes back when others return machines.
	NoCapacityBackoff    = 5 * time.Second
	NoCapacityBackoffMax = 40 * time.Second
	// BootSlow is how many times bootS a machine's room counts as coming;
	// usual boots end at 1.5.
	BootSlow = 2.0
	// BootGiveUp is how many times bootS a machine may take before it is taken
	// for one that never comes up.
	BootGiveUp = 4.0

	// ErrorLogEvery limits repeated complaints about one source.
	ErrorLogEvery = 5 * time.Second
	// PeerEvery is the pause between status exchanges with peers.
	PeerEvery = 1 * time.Second
	// PeerWindow is the window in which peers' reports sent on are counted; up to
	// twice as long. A worker that cannot reach the leader asks them all in it.
	PeerWindow = 5 * time.Second
	// PeerRedial is the first pause before a lost peer is dialled again.
	PeerRedial = 200 * time.Millisecond
	// PeerTimeout ends a call to a peer.
	PeerTimeout = 1 * time.Second
	// ForwardTimeout ends a user's call passed to a peer; a poll has 2 s in all.
	ForwardTimeout = 1500 * time.Millisecond
	// UpStateAge is how long ago the state service may have served a node that
	// counts as served; its follow of the leader key returns every second.
	UpStateAge = 2500 * time.Millisecond
	// RefusedLag is how much later peers must have been served for a node to
	// count as refused alone: more than nodes differ at the start of an outage.
	RefusedLag = 2500 * time.Millisecond
	// AloneAfter is how long neither the state service nor a peer may be heard
	// before a node takes itself for cut off: some exchanges of both.
	AloneAfter = 5 * time.Second
	// PeerFresh is how old a peer's being served may be to count as present:
	// the follow's second, the exchange's second and their delays.
	PeerFresh = 3 * time.Second
	// FinalCache is how many final phases a node remembers (about 100 bytes
	// each).
	FinalCache = 20000
	// HelloDeadline ends the wait for the leader's answer to a report; workers
	// drop answers after 4 s.
	HelloDeadline = 3 * time.Second
	// IdleConn closes connections nobody has used for so long, but for those
	// that users and workers make.
	IdleConn = 120 * time.Second
	// IdleReports times report_s is how long a connection that was made to us is
	// kept idle, and IdleLeast the least: users poll about every 5 s. A worker
	// that left, or reports to another node, must not hold a socket for long.
	IdleReports = 5
	IdleLeast   = 20 * time.Second
	// DialTimeout ends a connection attempt: a host that is cut off is silent.
	DialTimeout = 1 * time.Second
	// StateConns and CloudConns are connections kept open when idle: two
	// follows, a commit and users' calls; the cloud gets a few calls a second.
	StateConns = 12
	CloudConns = 2
	// MaxInflight bounds user requests being worked on at once in one node, and
	// so does the number of its sockets over SocketsUsers: each may take one to
	// the state service.
	MaxInflight  = 256
	SocketsUsers = 6
	// SocketsOwn are a process's sockets for itself, beside those for users'
	// calls at the state service, peers and workers: listeners, the leader's
	// calls of the state service and the cloud, and what the runtime opens.
	SocketsOwn = 48
	// SocketsCommands is the part of the sockets left after these, and after two
	// for each peer, that direct commands to workers may take, idle ones too. The
	// rest is for connections made to us: a worker holds one all the time and a
	// command's only for milliseconds.
	SocketsCommands = 0.2
	// SocketsLeast is the least that must be left for connections made to us.
	SocketsLeast = 32
	// HandshakesAtOnce is how many handshakes are under way at the same time after a
	// takeover, production's first: all at once would keep the processor from
	// the answers that hold their leases.
	// One that hangs holds its place for DoTimeout.
	HandshakesAtOnce = 128
	// MemoryShare is the part of the memory limit given to the Go runtime.
	MemoryShare = 0.75
	// MemoryLeastMB is the least memory to serve with, in MB: the program and the
	// runtime take half of it when idle.
	MemoryLeastMB = 64
	// GCPercent is how much the heap may grow before it is collected, in percent:
	// processor time is scarcer than memory, which has its own limit above.
	GCPercent = 400
	// LateLogEvery limits the liaison's log line about late production work.
	LateLogEvery = 10 * time.Second
	// StatusEvery is how often the summary for the status page is made.
	StatusEvery = 1 * time.Second
	// UnknownShown is how many tasks that no record names are on the status page.
	UnknownShown = 20
	// EstimatorWeight is the weight of the newest run in a class's average.
	EstimatorWeight = 0.2
	// EstimatorMin is how many completed tasks PAPER's recent average needs.
	EstimatorMin = 2
)
