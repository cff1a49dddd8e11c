package cluster

import "time"

// FailureDetector records the leader's contact with an agent. A lack of contact alone
// never ends a placement. The detector only stops new work from being placed on the
// machine, and lets the leader send the agent a direct command or deprovision the
// machine.
type FailureDetector struct {
	// Up is true once a status of the agent has been applied in this term.
	Up bool
	// LastContact is when a status was last applied, whether it came in a heartbeat
	// or in the answer to a direct command.
	LastContact time.Time
	// LastHeartbeat is when a heartbeat was last accepted, or when the machine became
	// known. Only heartbeats renew the lease, so an agent that answers commands but sends
	// no heartbeats loses its tasks when the lease expires.
	LastHeartbeat time.Time
	// UnansweredCommands counts consecutive direct commands without an answer. An answer
	// or an applied status resets the count.
	UnansweredCommands int
	// NextHandshake is the earliest time of the next handshake. Zero means that no
	// handshake has been tried.
	NextHandshake time.Time

	oneWayPartition
}

// recordContact records that a status of the agent was applied.
func (d *FailureDetector) recordContact(now time.Time) {
	d.Up, d.LastContact, d.UnansweredCommands = true, now, 0
}

// recordCommandAnswer records whether a direct command was answered.
func (d *FailureDetector) recordCommandAnswer(answered bool) {
	if answered {
		d.UnansweredCommands = 0
	} else {
		d.UnansweredCommands++
	}
}

// inContact reports whether both the last contact and the last heartbeat are at most
// maxSilence old, and replies reach the agent.
func (d *FailureDetector) inContact(now time.Time, maxSilence time.Duration) bool {
	return !d.OneWayPartitioned() && now.Sub(d.LastContact) <= maxSilence && now.Sub(d.LastHeartbeat) <= maxSilence
}
