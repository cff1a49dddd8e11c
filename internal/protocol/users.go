package protocol

// JobPhase is the state of a job as reported to users.
type JobPhase string

// The phases of a job.
const (
	PhaseQueued    JobPhase = "queued"
	PhaseRunning   JobPhase = "running"
	PhaseDone      JobPhase = "done"
	PhaseCancelled JobPhase = "cancelled"
)

// JobStatus answers a user's call to submit a job, to get its status or to cancel it. Done
// and Running count tasks.
type JobStatus struct {
	ID      JobID    `msgpack:"ref"`
	Phase   JobPhase `msgpack:"phase"`
	Done    int      `msgpack:"done"`
	Running int      `msgpack:"running"`
}

// ErrorReply says why a request was refused, by a controller or by another service.
type ErrorReply struct {
	Error string `msgpack:"error"`
}
