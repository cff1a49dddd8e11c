package scheduler

import (
	"slices"

	"marblehaven/internal/protocol"
)

// LowestPriority is the priority whose tasks may be preempted for tasks of any other
// priority.
const LowestPriority = protocol.LevelLowest

// MachineType is a machine type with its current prices per hour.
type MachineType struct {
	Name             string
	Capacity         Resources
	Price, SpotPrice float64 // SpotPrice is 0 if there are no spot instances
	BootS            float64 // seconds from the request until the machine is up
	FetchGBps        float64 // rate at which images are fetched; 0 if unknown
	Zones            []string
}

// HourlyPrice returns the price per hour of a spot instance, or of any other machine of
// the type.
func (t *MachineType) HourlyPrice(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// RunningTasks describes the tasks of one job on a machine.
type RunningTasks struct {
	Job        int // index in Snapshot.Jobs
	Count      int
	Stopping   int     // how many of them were ordered to stop
	LostWorkS  float64 // seconds of work that are lost if all of them are preempted
	RemainingS float64 // seconds until the last of them is likely to end
}

// Machine is the state of a machine at the time of the snapshot.
type Machine struct {
	ID             string
	Type           int // index in Snapshot.Types
	Zone           string
	Spot           bool
	Free           Resources
	Schedulable    bool     // may be given tasks now
	Booting        bool     // not up yet; Free is the capacity that it will have
	Empty          bool     // certain to have no task
	IdleS          float64  // how long the machine has been empty
	GPUIdleS       float64  // on machines with GPUs: how long none of them has been in use
	Images         []string // images that the machine has or is fetching
	PendingFetchGB float64  // image data still to be fetched for the tasks on the machine
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
	DeadlineS       float64 // seconds from now until the job should be complete
	EstimateS       float64 // estimated run time of a task in seconds
	Waiting         int     // tasks to be started
	Running         int
	RunningByZone   map[string]int // tasks that may be running, by zone ("": unknown)
	BackingOff      bool           // no task may start until the backoff after failures ends
	Team            int            // index in Snapshot.Teams
	// Weight is what the job counts for when not all jobs can be in time: 1, or the
	// number of its tasks if the service-level objective counts tasks.
	Weight float64
	// StarvedS is by how many seconds the job's wait exceeds the starvation bound.
	StarvedS float64
	// MaxWaitExceeded is set if the job has exceeded the longest wait that is allowed
	// (tuning.MaxStartWaitS).
	MaxWaitExceeded bool
}

// Team holds the resources that a team uses and its quota; a quota of 0 means that the
// resource is not limited.
type Team struct {
	Used, Max Resources
}

// CapacityPool is a source from which machines can be requested: a type in a zone, as
// spot instances or not.
type CapacityPool struct {
	Type int // index in Snapshot.Types
	Zone string
	Spot bool
}

// Snapshot is everything that a plan depends on.
type Snapshot struct {
	Types                 []MachineType
	Machines              []Machine
	Jobs                  []Job
	Teams                 []Team
	ExhaustedPools        map[CapacityPool]bool // pools that recently refused requests for lack of capacity
	Rho                   float64               // ρ of DRPA, eq. 28: a larger value scales out sooner
	IdleTimeoutBootFactor float64               // number of boot times for which an idle machine is kept, see idleTimeout
	MayScaleOut           bool
	MayScaleIn            bool
	// StarvationShare is the share of the provisioned machines that starved jobs may
	// claim ahead of others.
	StarvationShare float64
	// StarvationShareLowestPriority is a share of the provisioned cores. It limits jobs of
	// the lowest priority that need no GPUs: once the running tasks of these jobs and the
	// waiting tasks of the starved ones that are scheduled ahead of others need this share,
	// no further one is scheduled ahead.
	StarvationShareLowestPriority float64
	// LowestGPUPriority is the lowest priority of the jobs with GPUs that have been seen,
	// -1 if there was none.
	LowestGPUPriority protocol.PriorityLevel
	// LargestGPURequest is the largest amount of each resource that a task of those jobs
	// requests.
	LargestGPURequest Resources
}

// typeOf returns the type of a machine.
func (s *Snapshot) typeOf(machine *Machine) *MachineType { return &s.Types[machine.Type] }

// schedulableOrBooting reports whether the machine can be given tasks, now or once it is
// up.
func (m *Machine) schedulableOrBooting() bool { return m.Schedulable || m.Booting }

// hasStartableTasks reports whether tasks of the job wait and may be started.
func (j *Job) hasStartableTasks() bool { return j.Waiting > 0 && !j.BackingOff }

func (j *Job) isProduction() bool { return j.Priority == protocol.LevelProduction }

func (j *Job) needsGPUs() bool { return j.Request.GPUs > 0 }

func (j *Job) isGang() bool { return j.Spec.Kind == protocol.KindGang }
