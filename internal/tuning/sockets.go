package tuning

import "time"

// Constants of connections and of the sockets that a process may have.
const (
	// IdleTimeout closes idle connections that this process made to the store and the
	// cloud. It is longer than the pauses between calls to them.
	IdleTimeout = 120 * time.Second

	// ConnIdleHeartbeats times report_s is how long an idle connection made to this process
	// is kept. An agent that has exited, or sends its heartbeats to another controller, must
	// not hold a socket for long.
	ConnIdleHeartbeats = 5
	// ConnIdleTimeoutMin is the least time that such a connection is kept idle, since users
	// ask about a job every 5 s. Idle connections to agents are kept as long.
	ConnIdleTimeoutMin = 20 * time.Second

	// DialTimeout ends an attempt to connect: a partitioned host does not answer.
	DialTimeout = 1 * time.Second

	// StoreIdleConns is how many idle connections to the store are kept: for two watches, a
	// commit and users' calls.
	StoreIdleConns = 12
	// CloudIdleConns is the same for the cloud, which gets a few calls a second.
	CloudIdleConns = 2

	// SocketsReserved is the number of sockets that a process reserves, in addition to those
	// for users' calls to the store, peers and agents: listeners, the leader's calls to the
	// store and the cloud, and those that the runtime opens.
	SocketsReserved = 48

	// SocketsCommandShare is the share that commands to agents may take, idle connections
	// included, of the sockets left after SocketsReserved, users' calls and two for each
	// peer. The rest is for connections made to this process: an agent holds one of these
	// permanently, and one for a command only for milliseconds.
	SocketsCommandShare = 0.2

	// SocketsCommandsMax is the largest number of sockets for commands, half of which may be
	// in use. With CommandTimeout for each machine that hangs, commands to a tenth of 4,000
	// machines end within 4 s. More would take sockets from agents' own connections.
	SocketsCommandsMax = 512

	// SocketsMin is the least number of sockets for connections made to this process with
	// which the settings are accepted.
	SocketsMin = 32

	// MaxUserCallsInFlight is the largest number of users' calls that one controller handles
	// at once.
	MaxUserCallsInFlight = 256
	// SocketsUserDivisor divides the limit of sockets. The quotient is another upper bound on
	// the number of users' calls, since each call may take a socket to the store: at most a
	// sixth of the sockets serves these calls.
	SocketsUserDivisor = 6
)
