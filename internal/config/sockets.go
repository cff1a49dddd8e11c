package config

import "marblehaven/internal/tuning"

// Sockets holds how many of a process's sockets each use may take, so that no use takes the
// sockets of another.
type Sockets struct {
	// Users is the number for users' calls in flight, each of which may hold one connection
	// to the key-value store.
	Users int
	// Incoming is the number for connections made by users, agents and health checks.
	Incoming int
	// Commands is the number for direct commands to agents.
	Commands int
}

// Sockets divides the socket limit among the uses. The sockets that the process reserves for
// itself, two for each peer, and those of users' calls are subtracted first. Commands get a
// share of the rest, and incoming connections what remains.
func (d *Deployment) Sockets(peers int) Sockets {
	users := min(tuning.MaxUserCallsInFlight, d.Limits.Sockets/tuning.SocketsUserDivisor)
	remaining := d.Limits.Sockets - tuning.SocketsReserved - 2*peers - users
	commands := min(tuning.SocketsCommandsMax, int(float64(remaining)*tuning.SocketsCommandShare))
	return Sockets{Users: users, Incoming: remaining - commands, Commands: commands}
}
