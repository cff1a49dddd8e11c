package tuning

import "time"

// Constants of workers and the machines that they run on.
const (
	// CommandTimeout ends a direct command. Workers answer at once unless they hang.
	CommandTimeout = 2 * time.Second

	// HandshakeInterval is the pause between attempts to reach a machine that has not
	// seen the term's token; its own report comes within a few seconds anyway.
	HandshakeInterval = 2 * time.Second

	// HandshakesInFlight is how many handshakes are under way at the same time after a
	// takeover, production's first: all at once would keep the processor from
	// the answers that hold their leases.
	// One that hangs holds its place for CommandTimeout.
	HandshakesInFlight = 128

	// AgentRetry is what a worker takes to find out that a node does not answer
	// and to try another: PROTOCOL's 4 s and 1 s.
	AgentRetry = 5 * time.Second

	// HeartbeatJitter times report_s is the longest pause between two reports of a worker.
	HeartbeatJitter = 1.25

	// SchedulableHeartbeats is how many report intervals may pass before a machine is
	// not given new work.
	SchedulableHeartbeats = 2.6

	// UnreachableHeartbeats is how many report intervals a silent machine that answers no
	// direct call either is waited for, if what is on it can wait; reports come
	// every 0.75 to 1.25 intervals, and after a lost one in about 5 s.
	UnreachableHeartbeats = 3.5

	// OneWayPartitionShare is the share of machines that may be deaf at once to be given back.
	OneWayPartitionShare = 0.1

	// UnreachableCommands is how many direct calls in a row a machine that is silent for
	// one and a half report intervals must leave unanswered, CommandTimeout each, to
	// count as lost. One may be lost itself.
	UnreachableCommands = 2

	// ZoneOutageShare is the share of a zone's machines that may be silent for that:
	// beyond it the zone or the link to it is cut, and the work goes on there.
	ZoneOutageShare = 0.4

	// OneWayPartitionHeartbeats is how many reports in a row may show nothing of a higher token
	// that the ones before were answered with: one answer may be lost or late.
	OneWayPartitionHeartbeats = 3

	// UnreachableGrace is how long after its lease a silent machine is given back:
	// a cut often ends within this time, a dead one costs money.
	UnreachableGrace = 20 * time.Second

	// NoHeartbeatLimit is how long a machine that answers commands may report nothing by
	// itself before it is given back all the same: it can do no work. Longer than
	// what keeps workers from connecting usually lasts, since it is often many of
	// them, and to rent as many anew takes a boot and the cloud's calls.
	NoHeartbeatLimit = 4 * time.Minute

	// MachineBackoff rests a machine that refused a start.
	MachineBackoff = 2 * time.Second

	// QuarantineJobs is how many different jobs must fail on a machine before it is
	// taken for faulty: one alone may be the job's own mistake.
	QuarantineJobs = 2

	// HeartbeatDeadline ends the wait for the leader's answer to a report; workers
	// drop answers after 4 s.
	HeartbeatDeadline = 3 * time.Second
)
