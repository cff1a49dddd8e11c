package protocol

import (
	"errors"

	"marblehaven/internal/tuning"
)

// TaskState is the state of a task on a machine.
type TaskState string

// The states of a task that its agent reports.
const (
	TaskFetching TaskState = "pulling"   // waits for its image
	TaskWaiting  TaskState = "gathering" // waits for the other tasks of its gang
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving" // writes a checkpoint before it exits
	TaskExited   TaskState = "ended"
)

// ExitReason tells why a task has exited.
type ExitReason string

// The reasons of an exit that the leader tells apart.
const (
	ExitDone        ExitReason = "done"
	ExitStopped     ExitReason = "stopped"
	ExitError       ExitReason = "error"
	ExitNoCapacity  ExitReason = "no_room"
	ExitDuplicate   ExitReason = "in_use"
	ExitUnknownTask ExitReason = "no_such"
)

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task         string     `msgpack:"piece"`
	Attempt      uint64     `msgpack:"try"`
	State        TaskState  `msgpack:"phase"`
	ExitReason   ExitReason `msgpack:"cause"`
	Checkpointed bool       `msgpack:"stored"`
}

// Heartbeat is what a worker tells about itself.
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

// Check tells whether a report can be worked with.
func (r *Heartbeat) Check() error {
	if r.Machine == "" || len(r.Machine) > tuning.MaxName || r.Incarnation == 0 {
		return errors.New("report without host or tenure")
	}
	return nil
}

// HeartbeatReply answers a report.
type HeartbeatReply struct {
	Token    FencingToken `msgpack:"baton"`
	Commands []Command    `msgpack:"orders"`
}

// Redirect names the node that takes reports.
type Redirect struct {
	Leader string `msgpack:"steward,omitempty"`
}

// Verb is what a command asks of an agent.
type Verb string

// The verbs of commands.
const (
	VerbStart   Verb = "start"
	VerbStop    Verb = "kill"
	VerbRelease Verb = "reap" // the agent may forget an exited attempt
)

// Command is a command to a worker.
type Command struct {
	Verb         Verb    `msgpack:"verb"`
	Task         string  `msgpack:"piece"`
	Attempt      uint64  `msgpack:"try"`
	GracePeriodS float64 `msgpack:"windupS,omitempty"`
}

// CommandRequest carries direct commands.
type CommandRequest struct {
	Token       FencingToken `msgpack:"baton"`
	Incarnation Incarnation  `msgpack:"tenure"`
	Commands    []Command    `msgpack:"orders"`
}
