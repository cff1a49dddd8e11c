package config

import "marblehaven/internal/tuning"

// Sockets is the division of a process's sockets among their uses, so that no use
// starves another.
type Sockets struct {
	// Users is for users' calls in flight, each of which may hold one connection to
	// the key-value store.
	Users int
	// Incoming is for connections made by users, agents and health checks.
	Incoming int
	// Commands is for direct commands to agents.
	Commands int
}

// Sockets divides the limit. The process's own sockets, two for each peer and those
// of users' calls come off first.
func (d *Deployment) Sockets(peers int) Sockets {
	users := min(tuning.MaxInflight, d.Limits.Sockets/tuning.SocketsUserDivisor)
	remaining := d.Limits.Sockets - tuning.SocketsReserved - 2*peers - users
	commands := min(tuning.SocketsCommandsMax, int(float64(remaining)*tuning.SocketsCommandShare))
	return Sockets{Users: users, Incoming: remaining - commands, Commands: commands}
}
