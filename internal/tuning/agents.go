package tuning

import "time"

// Constants of agents and the machines that they run on.
const (
	// CommandTimeout ends a direct command to an agent. Agents answer at once unless their
	// machine hangs.
	CommandTimeout = 2 * time.Second

	// HandshakeInterval is the pause between handshakes with a machine that has not
	// acknowledged a token of the term. Its own heartbeat comes within a few seconds anyway.
	HandshakeInterval = 2 * time.Second

	// HandshakesInFlight is how many handshakes are in flight at once after a failover,
	// machines with production tasks first. All at once would take the processor from the
	// heartbeat replies that renew the agents' leases. A machine that hangs holds its
	// place for CommandTimeout.
	HandshakesInFlight = 128

	// AgentFailoverDelay is how long an agent takes to notice that a controller does not answer and
	// to turn to another one: 4 s for the answer, 1 s until the next attempt.
	AgentFailoverDelay = 5 * time.Second

	// HeartbeatJitter times report_s is the longest pause between two heartbeats of an
	// agent, as the interface with agents says.
	HeartbeatJitter = 1.25

	// SchedulableHeartbeats is how many heartbeat intervals a machine may be silent and
	// still be given new tasks: one heartbeat may be lost between two of the longest pauses.
	SchedulableHeartbeats = 2.6

	// UnreachableHeartbeats is how many heartbeat intervals a silent machine that does not
	// answer commands either is waited for, if its tasks can wait. Heartbeats come every
	// 0.75 to 1.25 intervals, and after a lost one in about AgentFailoverDelay.
	UnreachableHeartbeats = 3.5

	// OneWayPartitionShare is the largest share of the machines that may be in a one-way
	// partition at once and be deprovisioned for it. Where more are, the network failed,
	// not the machines.
	OneWayPartitionShare = 0.1

	// UnreachableCommands is how many commands in a row a machine that is silent for
	// MissedHeartbeats must leave unanswered, each for CommandTimeout, to count as lost.
	// One command may be lost itself.
	UnreachableCommands = 2

	// ZoneOutageShare is the largest share of a zone's machines that may be silent for
	// single machines of the zone to count as lost. Beyond it the zone, or the link to the
	// zone, has failed, and the tasks there go on.
	ZoneOutageShare = 0.4

	// OneWayPartitionHeartbeats is how many heartbeats in a row must lack the higher token
	// with which the heartbeats before were answered, for the machine to count as
	// receiving no replies: one reply may be lost or late.
	OneWayPartitionHeartbeats = 3

	// UnreachableGrace is how long after the end of its lease a silent machine is
	// deprovisioned. Network failures often end within this time, and a dead machine
	// costs money.
	UnreachableGrace = 20 * time.Second

	// NoHeartbeatLimit is how long a machine that answers commands may send no heartbeat
	// before it is deprovisioned all the same, since it can do no work. It is longer than
	// most failures that keep agents from connecting: these strike many machines at once,
	// and replacing them takes a boot and the cloud's call budget.
	NoHeartbeatLimit = 4 * time.Minute

	// MachineBackoff is how long a machine that refused a start gets no new task, and the
	// pause before other calls that were refused are repeated.
	MachineBackoff = 2 * time.Second

	// QuarantineJobs is how many different jobs must fail on a machine before it is taken
	// for faulty: a single job may fail by its own mistake.
	QuarantineJobs = 2

	// HeartbeatDeadline ends the wait for the leader's reply to a heartbeat. Agents drop
	// replies that take more than 4 s.
	HeartbeatDeadline = 3 * time.Second
)
