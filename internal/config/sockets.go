package config

import "marblehaven/internal/tuning"

// Sockets is how a process divides the sockets that it may have, so that no use
// starves another.
type Sockets struct {
	// Users is for users' calls being worked on, each of which may take one to
	// the state service.
	Users int
	// Incoming is for connections made by users, workers and health checks.
	Incoming int
	// Commands is for direct commands to workers.
	Commands int
}

// Sockets divides the limit; what a process needs for itself comes off first.
func (d *Deployment) Sockets(peers int) Sockets {
	users := min(tuning.MaxInflight, d.Limits.Sockets/tuning.SocketsUsers)
	left := d.Limits.Sockets - tuning.SocketsOwn - 2*peers - users
	commands := min(tuning.SocketsCommandsMax, int(float64(left)*tuning.SocketsCommands))
	return Sockets{Users: users, Incoming: left - commands, Commands: commands}
}
