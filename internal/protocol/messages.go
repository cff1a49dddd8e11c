// Package protocol holds the messages of PROTOCOL and their codec. The protocol's
// own field names occur only here.
package protocol

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"marblehaven/internal/tuning"
)

// JobID names a job, in the form that ValidJobID checks.
type JobID string

// Term numbers the leaders one after another: a newer leader has a higher term.
type Term uint64

// FencingToken proves to an agent which leader a command or an answer comes from.
// Its high bits are the leader's term; the low bits count the tokens that the
// leader has issued to one machine.
type FencingToken uint64

// FirstToken returns the lowest token of the term.
func (t Term) FirstToken() FencingToken { return FencingToken(t) << tuning.TermShift }

// Term returns the term of the leader that issued the token.
func (t FencingToken) Term() Term { return Term(t >> tuning.TermShift) }

// Incarnation numbers the lives of an agent: a new one begins when its lease
// expires, and everything that ran in the ones before is gone.
type Incarnation uint64

// Revision counts all changes of the key-value store.
type Revision uint64

// Version is the revision of a key's last change; 0: the key does not exist.
type Version uint64

// Version returns the version of the keys that were written at the revision.
func (r Revision) Version() Version { return Version(r) }

// Revision returns the revision of the change that a version stands for.
func (v Version) Revision() Revision { return Revision(v) }

// LeaseID names a lease of the key-value store.
type LeaseID uint64

// JobKind tells how the tasks of a job belong together.
type JobKind string

// The kinds of jobs.
const (
	KindArray   JobKind = "sweep"    // independent tasks, each runs to completion
	KindGang    JobKind = "group"    // all tasks run at the same time or none does
	KindService JobKind = "standing" // replicas that run until the job is cancelled
)

// Priority is a job's priority as its user names it; Level orders priorities.
type Priority string

// The priorities, the highest first.
const (
	PriorityProduction Priority = "production"
	PriorityHigh       Priority = "high"
	PriorityStandard   Priority = "standard"
	PriorityIdle       Priority = "idle"
)

// JobPhase is the state of a job as users are told.
type JobPhase string

// The phases of a job.
const (
	PhaseQueued    JobPhase = "queued"
	PhaseRunning   JobPhase = "running"
	PhaseDone      JobPhase = "done"
	PhaseCancelled JobPhase = "cancelled"
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

// Verb is what a command asks of an agent.
type Verb string

// The verbs of commands.
const (
	VerbStart   Verb = "start"
	VerbStop    Verb = "kill"
	VerbRelease Verb = "reap" // the agent may forget an exited attempt
)

// MachineState is the state of a machine in the cloud's list.
type MachineState string

// The states of a machine that are told apart.
const (
	MachineStarting MachineState = "starting"
	MachineFailed   MachineState = "failed"
)

// ReasonNoLease is the store's reason for refusing a write with an expired lease.
const ReasonNoLease = "no such lease"

// JobStatus answers users' calls.
type JobStatus struct {
	ID      JobID    `msgpack:"ref"`
	Phase   JobPhase `msgpack:"phase"`
	Done    int      `msgpack:"done"`
	Running int      `msgpack:"running"`
}

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

// Command is a command to a worker.
type Command struct {
	Verb         Verb    `msgpack:"verb"`
	Task         string  `msgpack:"piece"`
	Attempt      uint64  `msgpack:"try"`
	GracePeriodS float64 `msgpack:"windupS,omitempty"`
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

// CommandRequest carries direct commands.
type CommandRequest struct {
	Token       FencingToken `msgpack:"baton"`
	Incarnation Incarnation  `msgpack:"tenure"`
	Commands    []Command    `msgpack:"orders"`
}

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name      string   `msgpack:"label"`
	Cores     float64  `msgpack:"cores"`
	GPUs      float64  `msgpack:"cards"`
	MemGB     float64  `msgpack:"memGb"`
	CacheGB   float64  `msgpack:"cacheGb"`
	FetchGBps float64  `msgpack:"fetchGbPerS"`
	Price     float64  `msgpack:"price"`
	SpotPrice float64  `msgpack:"lowPrice"`
	BootS     float64  `msgpack:"bootS"`
	Zones     []string `msgpack:"quarries"`
}

// Catalog is the cloud's list of machine types.
type Catalog struct {
	Types []MachineType `msgpack:"flavors"`
}

// ProvisionRequest asks the cloud for machines.
type ProvisionRequest struct {
	RequestID string `msgpack:"claim"`
	Type      string `msgpack:"flavor"`
	Zone      string `msgpack:"quarry"`
	Spot      bool   `msgpack:"loaners"`
	Count     int    `msgpack:"howMany"`
}

// MachineIDs lists machine names.
type MachineIDs struct {
	IDs []string `msgpack:"hosts"`
}

// ListedMachine is an entry of the cloud's machine list.
type ListedMachine struct {
	ID    string       `msgpack:"ref"`
	Addr  string       `msgpack:"endpoint"`
	Type  string       `msgpack:"flavor"`
	Zone  string       `msgpack:"quarry"`
	Spot  bool         `msgpack:"loaners"`
	State MachineState `msgpack:"phase"`
	AgeS  float64      `msgpack:"heldS"`
}

// MachineList is a page of the cloud's machine list.
type MachineList struct {
	Machines []ListedMachine `msgpack:"hosts"`
	More     bool            `msgpack:"truncated"`
}

// KeyValue is a key of the state service with its value.
type KeyValue struct {
	Key     string             `msgpack:"path"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Version Version            `msgpack:"stamp"`
}

// KeyValuePage is a page of keys.
type KeyValuePage struct {
	Entries  []KeyValue `msgpack:"rows"`
	More     bool       `msgpack:"truncated"`
	Revision Revision   `msgpack:"epoch"`
}

// Precondition is a condition of a commit.
type Precondition struct {
	Key     string  `msgpack:"path"`
	Version Version `msgpack:"stamp"`
}

// Mutation is a put (Set) or a delete.
type Mutation struct {
	Set    string  `msgpack:"set,omitempty"`
	Value  any     `msgpack:"data,omitempty"`
	Lease  LeaseID `msgpack:"permit,omitempty"`
	Delete string  `msgpack:"delete,omitempty"`
}

// Transaction is a transaction.
type Transaction struct {
	Preconditions []Precondition `msgpack:"guards"`
	Mutations     []Mutation     `msgpack:"then,omitempty"`
}

// TransactionReply answers a transaction.
type TransactionReply struct {
	Revision   Revision `msgpack:"epoch"`
	FailedKeys []string `msgpack:"failed"`
	Error      string   `msgpack:"error"`
}

// LeaseRequest asks for a lease at the state service.
type LeaseRequest struct {
	TTLMS int64 `msgpack:"lifeMs"`
}

// Lease is a lease at the state service.
type Lease struct {
	ID LeaseID `msgpack:"permit"`
}

// WatchEvent is a change seen by a follow call.
type WatchEvent struct {
	Set     string             `msgpack:"set"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Delete  string             `msgpack:"delete"`
	Version Version            `msgpack:"stamp"`
}

// WatchReply answers a follow call.
type WatchReply struct {
	Revision Revision     `msgpack:"epoch"`
	Events   []WatchEvent `msgpack:"events"`
}

// ErrorReply explains a refusal.
type ErrorReply struct {
	Error string `msgpack:"error"`
}
