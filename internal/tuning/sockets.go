package tuning

import "time"

// Constants of connections and sockets.
const (
	// IdleTimeout closes connections nobody has used for so long, but for those
	// that users and workers make.
	IdleTimeout = 120 * time.Second

	// IdleHeartbeats times report_s is how long a connection that was made to us is
	// kept idle, and IdleMin the least: users poll about every 5 s. A worker
	// that left, or reports to another node, must not hold a socket for long.
	IdleHeartbeats = 5
	IdleMin        = 20 * time.Second

	// DialTimeout ends a connection attempt: a host that is cut off is silent.
	DialTimeout = 1 * time.Second

	// StateConns and CloudConns are connections kept open when idle: two
	// follows, a commit and users' calls; the cloud gets a few calls a second.
	StateConns = 12
	CloudConns = 2

	// SocketsOwn are a process's sockets for itself, beside those for users'
	// calls at the state service, peers and workers: listeners, the leader's
	// calls of the state service and the cloud, and what the runtime opens.
	SocketsOwn = 48

	// SocketsCommands is the part of the sockets left after these, and after two
	// for each peer, that direct commands to workers may take, idle ones too. The
	// rest is for connections made to us: a worker holds one all the time and a
	// command's only for milliseconds.
	SocketsCommands = 0.2

	// SocketsCommandsMax bounds that part, half of it for commands under way: with
	// CommandTimeout for each that hangs, a tenth of 4,000 machines is asked within 4 s.
	// More would take connections from workers, of which each holds one.
	SocketsCommandsMax = 512

	// SocketsMin is the least that must be left for connections made to us.
	SocketsMin = 32

	// MaxInflight bounds user requests being worked on at once in one node, and
	// so does the number of its sockets over SocketsUsers: each may take one to
	// the state service.
	MaxInflight  = 256
	SocketsUsers = 6
)
