package protocol

// JobPhase is the state of a job as users are told.
type JobPhase string

// The phases of a job.
const (
	PhaseQueued    JobPhase = "queued"
	PhaseRunning   JobPhase = "running"
	PhaseDone      JobPhase = "done"
	PhaseCancelled JobPhase = "cancelled"
)

// JobStatus answers users' calls.
type JobStatus struct {
	ID      JobID    `msgpack:"ref"`
	Phase   JobPhase `msgpack:"phase"`
	Done    int      `msgpack:"done"`
	Running int      `msgpack:"running"`
}

// ErrorReply explains a refusal.
type ErrorReply struct {
	Error string `msgpack:"error"`
}
