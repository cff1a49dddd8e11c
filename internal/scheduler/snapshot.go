package scheduler

import (
	"slices"

	"marblehaven/internal/protocol"
)

// LowestPriority is the rank that everything else may stop.
const LowestPriority = protocol.LevelLowest

// MachineType is a machine type with its current prices per hour.
type MachineType struct {
	Name             string
	Capacity         Resources
	Price, SpotPrice float64
	BootS, FetchGBps float64
	Zones            []string
}

// HourlyPrice is the price per hour of the kind.
func (t *MachineType) HourlyPrice(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// RunningTasks is a task on a machine that could make room.
type RunningTasks struct {
	Job        int // index in Snapshot.Jobs
	Count      int
	Stopping   int     // how many of them were told to stop
	LostWorkS  float64 // seconds of work that stopping them at once would lose
	RemainingS float64 // seconds until the last of them is likely to end
}

// Machine is a machine as seen at the snapshot.
type Machine struct {
	ID             string
	Type           int
	Zone           string
	Spot           bool
	Free           Resources
	Schedulable    bool     // may be given work now
	Booting        bool     // boots: its room counts as coming
	Empty          bool     // nothing may be on it
	IdleS          float64  // how long it has been empty
	GPUIdleS       float64  // with GPUs: how long none of them has been in use
	Images         []string // that it has or is fetching
	PendingFetchGB float64  // still to be fetched for what is on it
	Tasks          []RunningTasks
}

func (m *Machine) hasImage(image string) bool { return slices.Contains(m.Images, image) }

// Job is a job with tasks waiting.
type Job struct {
	ID              protocol.JobID
	Spec            *protocol.Job
	Request         Resources
	Priority        protocol.PriorityLevel // 0 is production
	Guaranteed      bool
	DeadlineS       float64 // seconds from now until it should be complete
	EstimateS       float64
	Waiting         int // tasks to be started
	Running         int
	RunningByZone   map[string]int
	BackingOff      bool // backs off after failures
	Team            int
	Weight          float64 // what being in time counts: 1, or the tasks where an aim counts these
	StarvedS        float64 // how long it has waited beyond what any may
	MaxWaitExceeded bool    // it has waited longer than any may
}

// Team is a team's use and its limit; a limit of 0 is none.
type Team struct {
	Used, Max Resources
}

// CapacityPool is something that can be rented.
type CapacityPool struct {
	Type int
	Zone string
	Spot bool
}

// Snapshot is all that decisions are made from.
type Snapshot struct {
	Types          []MachineType
	Machines       []Machine
	Jobs           []Job
	Teams          []Team
	ExhaustedPools map[CapacityPool]bool // no capacity lately
	Rho            float64
	IdleBootFactor float64 // see giveBack
	MayScaleOut    bool
	MayScaleIn     bool
	// StarvationShare is the part of the held machines that may be kept for what
	// has waited too long.
	StarvationShare float64
	// StarvationShareIdle is the part that the lowest rank may have while it is so
	// served, with what of it runs.
	StarvationShareIdle float64
	// GPUPriority is the lowest rank of the work with GPUs that has been seen, -1
	// if there was none; GPUNeed is the most that a task of it takes.
	GPUPriority protocol.PriorityLevel
	GPURequest  Resources
}

// typeOf is the type of a machine.
func (s *Snapshot) typeOf(machine *Machine) *MachineType { return &s.Types[machine.Type] }

// acceptsTasks tells whether the machine can be given tasks, now or once it is up.
func (m *Machine) acceptsTasks() bool { return m.Schedulable || m.Booting }

// hasStartableTasks tells whether tasks of the job wait and may be started.
func (j *Job) hasStartableTasks() bool { return j.Waiting > 0 && !j.BackingOff }

func (j *Job) isProduction() bool { return j.Priority == protocol.LevelProduction }

func (j *Job) needsGPUs() bool { return j.Request.GPUs > 0 }

func (j *Job) isGang() bool { return j.Spec.Kind == protocol.KindGang }
