package protocol

import (
	"fmt"

	"marblehaven/internal/tuning"
)

// TaskState is the state of a task on a machine, as the agent reports it.
type TaskState string

// The states of a task.
const (
	TaskFetching TaskState = "pulling"   // waits for its image
	TaskWaiting  TaskState = "gathering" // waits for the other tasks of its gang
	TaskRunning  TaskState = "running"   // runs, also while its gang is being stopped
	TaskSaving   TaskState = "saving"    // saves a checkpoint before it exits
	TaskExited   TaskState = "ended"     // has exited; see ExitReason
)

// ExitReason says why a task has exited.
type ExitReason string

// The exit reasons that the leader distinguishes.
const (
	ExitDone        ExitReason = "done"    // completed
	ExitStopped     ExitReason = "stopped" // stopped by a command
	ExitError       ExitReason = "error"   // failed
	ExitNoCapacity  ExitReason = "no_room" // start refused: the machine has too few free resources
	ExitDuplicate   ExitReason = "in_use"  // start refused: another attempt of the task is still on the machine
	ExitUnknownTask ExitReason = "no_such" // start refused: the agent found no such job or task
)

// TaskStatus is the status of one task in a heartbeat. Task is <job ID>/<number>.
type TaskStatus struct {
	Task         string     `msgpack:"piece"`
	Attempt      uint64     `msgpack:"try"`
	State        TaskState  `msgpack:"phase"`
	ExitReason   ExitReason `msgpack:"cause"`
	Checkpointed bool       `msgpack:"stored"`
}

// Heartbeat is the status of an agent and of all tasks on its machine. Agents send it at
// intervals, and in reply to commands. Of two heartbeats the one with the higher
// incarnation, or with the same incarnation and the higher sequence number, is the newer
// one. Token is the highest fencing token that the agent has received. PreemptionNoticeS is
// the time in seconds until the cloud preempts the machine, nil without such a notice.
type Heartbeat struct {
	Machine           string       `msgpack:"host"`
	Addr              string       `msgpack:"endpoint"`
	MachineType       string       `msgpack:"flavor"`
	Zone              string       `msgpack:"quarry"`
	Spot              bool         `msgpack:"loaners"`
	Incarnation       Incarnation  `msgpack:"tenure"`
	Sequence          uint64       `msgpack:"tick"`
	Token             FencingToken `msgpack:"baton"`
	PreemptionNoticeS *float64     `msgpack:"recallS"`
	Tasks             []TaskStatus `msgpack:"pieces"`
}

// Check returns an error for a heartbeat without a usable machine ID or incarnation.
func (h *Heartbeat) Check() error {
	if h.Machine == "" || len(h.Machine) > tuning.MaxName || h.Incarnation == 0 {
		return fmt.Errorf("heartbeat with a machine ID of %d bytes and incarnation %d; the ID must have 1 to %d bytes, the incarnation must not be 0", len(h.Machine), h.Incarnation, tuning.MaxName)
	}
	return nil
}

// HeartbeatReply answers a heartbeat that is not the reply to a command, and renews the
// agent's lease.
type HeartbeatReply struct {
	Token    FencingToken `msgpack:"baton"`
	Commands []Command    `msgpack:"orders"`
}

// Redirect names the controller that takes heartbeats; Leader is empty if none is known.
type Redirect struct {
	Leader string `msgpack:"steward,omitempty"`
}

// Verb is the action that a command requests from an agent.
type Verb string

// The verbs of commands.
const (
	VerbStart   Verb = "start"
	VerbStop    Verb = "kill"
	VerbRelease Verb = "reap" // the agent may forget an exited attempt
)

// Command asks an agent to start, stop or release an attempt of a task.
type Command struct {
	Verb         Verb    `msgpack:"verb"`
	Task         string  `msgpack:"piece"`
	Attempt      uint64  `msgpack:"try"`
	GracePeriodS float64 `msgpack:"windupS,omitempty"`
}

// CommandRequest sends commands to an agent directly, outside of a heartbeat reply.
type CommandRequest struct {
	Token       FencingToken `msgpack:"baton"`
	Incarnation Incarnation  `msgpack:"tenure"`
	Commands    []Command    `msgpack:"orders"`
}
