package protocol

import "slices"

// Job is a job's description as its user submits it.
type Job struct {
	ID                  JobID    `msgpack:"ref"`
	Class               string   `msgpack:"workload"`
	Team                string   `msgpack:"owner"`
	Kind                JobKind  `msgpack:"shape"`
	Priority            Priority `msgpack:"rank"`
	Tasks               int      `msgpack:"pieces"`
	Cores               float64  `msgpack:"cores"`
	GPUs                float64  `msgpack:"cards"`
	MemGB               float64  `msgpack:"memGb"`
	Image               string   `msgpack:"bundle"`
	ImageGB             float64  `msgpack:"imageGb"`
	MachineTypes        []string `msgpack:"flavors"`
	Zone                string   `msgpack:"quarry"`
	OneZone             bool     `msgpack:"samePlace"`
	Spread              bool     `msgpack:"spread"`
	Spot                bool     `msgpack:"loaners"`
	EstimateS           float64  `msgpack:"guessS"`
	CheckpointIntervalS float64  `msgpack:"snapshotS"`
	CheckpointSaveS     float64  `msgpack:"flushS"`
	// DeadlineS is the time in seconds from the submission within which the job should be
	// done; 0 if there is no deadline.
	DeadlineS float64 `msgpack:"dueS"`
	// DependsOn names the jobs that must be done before any task of this job starts.
	DependsOn []JobID `msgpack:"awaits,omitempty"`
}

// JobKind says whether the tasks of a job must run together and whether they end.
type JobKind string

// The kinds of jobs.
const (
	KindArray   JobKind = "sweep"    // tasks that need not run together and exit when they are done
	KindGang    JobKind = "group"    // tasks that run together or not at all
	KindService JobKind = "standing" // replicas, which run until their user cancels the job
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

// priorities lists the priorities, the highest first.
var priorities = []Priority{PriorityProduction, PriorityHigh, PriorityStandard, PriorityIdle}

// PriorityLevel orders priorities: the lower the level, the higher the priority.
type PriorityLevel int

// The levels of the highest and the lowest priority.
const (
	LevelProduction PriorityLevel = 0
	LevelLowest     PriorityLevel = 3
)

// Level returns the level of the priority, or -1 if the priority is unknown.
func (p Priority) Level() PriorityLevel {
	return PriorityLevel(slices.Index(priorities, p))
}
