package tuning

import "time"

// Constants of agents and the machines that they run on.
const (
	// CommandTimeout ends a direct command to an agent. Agents answer at once unless their
	// machine hangs.
	CommandTimeout = 2 * time.Second

	// HandshakeInterval is the pause between handshakes with a machine that has not
	// acknowledged a token of the term. The machine's own heartbeat arrives within a few
	// seconds in any case.
	HandshakeInterval = 2 * time.Second

	// HandshakesInFlight is the largest number of handshakes in flight at once after a
	// failover, machines with production tasks first. Handshakes with all machines at once
	// would take processor time from the heartbeat replies that renew the agents' leases. A
	// machine that hangs occupies one of the handshakes for CommandTimeout.
	HandshakesInFlight = 128

	// AgentFailoverDelay is how long an agent takes to give up on a controller that does not
	// answer and to try another one: 4 s for the answer, 1 s until the next attempt.
	AgentFailoverDelay = 5 * time.Second

	// HeartbeatJitter times report_s is the longest pause between two heartbeats of an agent,
	// as the interface with agents specifies.
	HeartbeatJitter = 1.25

	// SchedulableHeartbeats is the number of heartbeat intervals that a machine may send
	// nothing and still be given new tasks: one heartbeat may be lost between two of the
	// longest pauses.
	SchedulableHeartbeats = 2.6

	// UnreachableHeartbeats is the number of heartbeat intervals after which a machine that
	// sends nothing and does not answer commands counts as unreachable. A machine with tasks
	// of production or of a gang of several tasks counts as unreachable sooner, once
	// UnreachableCommands are unanswered. Heartbeats arrive every 0.75 to 1.25 intervals, and
	// after a lost one within about AgentFailoverDelay.
	UnreachableHeartbeats = 3.5

	// OneWayPartitionShare is the largest share of the machines that may be in a one-way
	// partition at once and be deprovisioned for it. If the share is larger, the network has
	// failed rather than the machines.
	OneWayPartitionShare = 0.1

	// UnreachableCommands is the number of consecutive commands, each with a timeout of
	// CommandTimeout, that a machine silent for MissedHeartbeats must leave unanswered to
	// count as unreachable. One command may itself be lost.
	UnreachableCommands = 2

	// ZoneOutageShare is the largest share of a zone's machines that may be silent for single
	// machines of the zone to count as unreachable. Beyond it the zone, or the link to the
	// zone, has failed, and the tasks in the zone continue to run.
	ZoneOutageShare = 0.4

	// OneWayPartitionHeartbeats is the number of consecutive heartbeats that must lack the
	// higher token sent in reply to the heartbeats before them, for the machine to count as
	// receiving no replies. One reply may be lost or late.
	OneWayPartitionHeartbeats = 3

	// UnreachableGrace is how long after the end of its lease a silent machine is
	// deprovisioned. Network failures often end within this time, and a failed machine costs
	// money as long as it is kept.
	UnreachableGrace = 20 * time.Second

	// NoHeartbeatLimit is how long a machine that answers commands may send no heartbeat
	// before it is deprovisioned, since without heartbeats it can do no work. The limit is
	// longer than most failures that keep agents from connecting: such failures affect many
	// machines at once, and replacing them takes a boot and the cloud's call budget.
	NoHeartbeatLimit = 4 * time.Minute

	// MachineBackoff is how long a machine that refused a start gets no new task, and the
	// pause before other refused calls are repeated.
	MachineBackoff = 2 * time.Second

	// QuarantineJobs is the number of different jobs that must fail on a machine before the
	// machine is considered faulty. A single job may fail because of its own fault.
	QuarantineJobs = 2

	// HeartbeatDeadline ends the wait for the leader's reply to a heartbeat. Agents drop
	// replies that take more than 4 s.
	HeartbeatDeadline = 3 * time.Second
)
