package scheduler

import (
	"slices"

	"marblehaven/internal/protocol"
)

// LowestPriority is the priority whose tasks may be preempted for any other.
const LowestPriority = protocol.LevelLowest

// MachineType is a machine type with its current prices per hour.
type MachineType struct {
	Name             string
	Capacity         Resources
	Price, SpotPrice float64 // SpotPrice is 0 if there are no spot instances
	BootS            float64 // seconds from the request until the machine is up
	FetchGBps        float64 // rate at which images are fetched; 0: not known
	Zones            []string
}

// HourlyPrice is the price per hour of a spot instance or of any other.
func (t *MachineType) HourlyPrice(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// RunningTasks is the tasks of one job on a machine.
type RunningTasks struct {
	Job        int // index in Snapshot.Jobs
	Count      int
	Stopping   int     // how many of them were told to stop
	LostWorkS  float64 // seconds of work that are lost if all of them are preempted
	RemainingS float64 // seconds until the last of them is likely to end
}

// Machine is a machine at the time of the snapshot.
type Machine struct {
	ID             string
	Type           int // index in Snapshot.Types
	Zone           string
	Spot           bool
	Free           Resources
	Schedulable    bool     // may be given tasks now
	Booting        bool     // is not up yet; Free is what it will have
	Empty          bool     // no task can be on it
	IdleS          float64  // how long it has been empty
	GPUIdleS       float64  // if it has GPUs: how long none of them has been in use
	Images         []string // that it has or is fetching
	PendingFetchGB float64  // still to be fetched for the tasks on it
	Tasks          []RunningTasks
}

func (m *Machine) hasImage(image string) bool { return slices.Contains(m.Images, image) }

// Job is a job that is not done.
type Job struct {
	ID              protocol.JobID
	Spec            *protocol.Job
	Request         Resources // of one task
	Priority        protocol.PriorityLevel
	WithinGuarantee bool    // within its team's guaranteed quota
	DeadlineS       float64 // seconds from now until it should be complete
	EstimateS       float64 // estimated run time of a task in seconds
	Waiting         int     // tasks to be started
	Running         int
	RunningByZone   map[string]int // tasks that may be running, by zone ("": unknown)
	BackingOff      bool           // starts nothing for a while, after failures
	Team            int            // index in Snapshot.Teams
	// Weight is what the job counts for when not all can be in time: 1, or its tasks
	// where the service-level objective counts tasks.
	Weight float64
	// StarvedS is by how many seconds its wait exceeds the starvation bound.
	StarvedS float64
	// MaxWaitExceeded tells that it has waited longer than any job may.
	MaxWaitExceeded bool
}

// Team is a team's use and its quota limit; a limit of 0 is none.
type Team struct {
	Used, Max Resources
}

// CapacityPool is what machines can be requested from: a type in a zone, as spot
// instances or not.
type CapacityPool struct {
	Type int // index in Snapshot.Types
	Zone string
	Spot bool
}

// Snapshot is all that a plan is made from.
type Snapshot struct {
	Types                 []MachineType
	Machines              []Machine
	Jobs                  []Job
	Teams                 []Team
	ExhaustedPools        map[CapacityPool]bool // refused for lack of capacity lately
	Rho                   float64               // ρ of DRPA, eq. 28: a larger one scales out sooner
	IdleTimeoutBootFactor float64               // boot times for which an idle machine is kept, see idleTimeout
	MayScaleOut           bool
	MayScaleIn            bool
	// StarvationShare is the share of the provisioned machines that starved jobs may
	// claim ahead of others.
	StarvationShare float64
	// StarvationShareLowestPriority is the share of the provisioned cores that the lowest
	// priority may have, with its running tasks, while its starved jobs go first.
	StarvationShareLowestPriority float64
	// LowestGPUPriority is the lowest priority of the work with GPUs that has been seen, -1
	// if there was none.
	LowestGPUPriority protocol.PriorityLevel
	// LargestGPURequest is the most of each resource that a task of that work requests.
	LargestGPURequest Resources
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
