package cluster

import "time"

// FailureDetector keeps what the leader knows of the contact with an agent. Silence
// alone never ends a placement; the detector only keeps new work away and lets the
// leader call the agent or give the machine back.
type FailureDetector struct {
	// Up tells that a status of the agent was applied in this term.
	Up bool
	// LastContact is when a status was last applied, whether it came in a heartbeat
	// or in the answer to a direct command.
	LastContact time.Time
	// LastHeartbeat is when a heartbeat was last accepted, or when the machine
	// became known. Only heartbeats renew the lease, so an agent that answers
	// commands and sends no heartbeats loses its tasks all the same.
	LastHeartbeat time.Time
	// UnansweredCommands counts the direct commands in a row that were not answered,
	// with no status applied since.
	UnansweredCommands int
	// NextHandshake is the earliest time of the next handshake; zero: none was tried.
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

// inContact tells whether both the last contact and the last heartbeat are recent enough,
// and replies reach the agent.
func (d *FailureDetector) inContact(now time.Time, maxSilence time.Duration) bool {
	return !d.OneWayPartitioned() && now.Sub(d.LastContact) <= maxSilence && now.Sub(d.LastHeartbeat) <= maxSilence
}
