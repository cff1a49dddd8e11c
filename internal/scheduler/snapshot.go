package scheduler

import (
	"math"
	"slices"

	"marblehaven/internal/protocol"
)

const eps = 1e-9

// LowestRank is the rank that everything else may stop.
const LowestRank = 3

// Res is an amount of machine resources.
type Res struct{ Cores, GPUs, Mem float64 }

// Sub takes n times r away.
func (a Res) Sub(r Res, n int) Res {
	f := float64(n)
	return Res{a.Cores - f*r.Cores, a.GPUs - f*r.GPUs, a.Mem - f*r.Mem}
}

// Slots is how often need fits into a.
func (a Res) Slots(need Res) int {
	n := math.MaxInt32
	for _, p := range [][2]float64{{a.Cores, need.Cores}, {a.GPUs, need.GPUs}, {a.Mem, need.Mem}} {
		if p[1] > 0 {
			n = min(n, int(math.Floor(p[0]/p[1]+eps)))
		}
	}
	return max(0, n)
}

// Type is a machine type with its current prices per hour.
type Type struct {
	Name             string
	Total            Res
	Price, SpotPrice float64
	BootS, FetchGBps float64
	Zones            []string
}

// PriceOf is the price per hour of the kind.
func (t *Type) PriceOf(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// Running is a task on a machine that could make room.
type Running struct {
	Job    int // index in Snapshot.Jobs
	Count  int
	Ending int     // how many of them were told to stop
	LostS  float64 // seconds of work that stopping them at once would lose
	LeftS  float64 // seconds until the last of them is likely to end
}

// Machine is a machine as seen at the snapshot.
type Machine struct {
	ID       string
	Type     int
	Zone     string
	Spot     bool
	Free     Res
	Ready    bool     // may be given work now
	Coming   bool     // boots: its room counts as coming
	Empty    bool     // nothing may be on it
	IdleS    float64  // how long it has been empty
	GPUIdleS float64  // with GPUs: how long none of them has been in use
	Images   []string // that it has or is fetching
	FetchGB  float64  // still to be fetched for what is on it
	Tasks    []Running
}

func (m *Machine) has(image string) bool { return slices.Contains(m.Images, image) }

// Job is a job with tasks waiting.
type Job struct {
	Ref        string
	Desc       *protocol.Job
	Need       Res
	Rank       int // 0 is production
	Guaranteed bool
	DueS       float64 // seconds from now until it should be complete
	EstimateS  float64
	Waiting    int // tasks to be started
	Live       int
	ZoneLive   map[string]int
	Resting    bool // backs off after failures
	Team       int
	Counts     float64 // what being in time counts: 1, or the tasks where an aim counts these
	OverdueS   float64 // how long it has waited beyond what any may
	TooLate    bool    // it has waited longer than any may
}

// Team is a team's use and its limit; a limit of 0 is none.
type Team struct {
	Used, Max Res
}

// Offer is something that can be rented.
type Offer struct {
	Type int
	Zone string
	Spot bool
}

// Snapshot is all that decisions are made from.
type Snapshot struct {
	Types     []Type
	Machines  []Machine
	Jobs      []Job
	Teams     []Team
	Refused   map[Offer]bool // no capacity lately
	Rho       float64
	GiveBack  float64 // see giveBack
	MayRent   bool
	MayReturn bool
	// StarvationShare is the part of the held machines that may be kept for what
	// has waited too long.
	StarvationShare float64
	// StarvationShareIdle is the part that the lowest rank may have while it is so
	// served, with what of it runs.
	StarvationShareIdle float64
	// GPURank is the lowest rank of the work with GPUs that has been seen, -1
	// if there was none; GPUNeed is the most that a task of it takes.
	GPURank int
	GPUNeed Res
}

// Start puts Count tasks of a job on a machine.
type Start struct{ Job, Machine, Count int }

// Rent asks for Count machines.
type Rent struct {
	Offer
	Count int
}

// Stop makes room: Count tasks of Job on Machine are stopped, at once.
type Stop struct{ Machine, Job, Count int }

// Plan is what to do.
type Plan struct {
	Starts  []Start
	Stops   []Stop
	Rents   []Rent
	Returns []int
	// Late marks jobs (by index) whose slack is spent while tasks wait.
	Late []int
}

// work is what is left to do of the job, in need times seconds.
func (j *Job) work(need float64) float64 {
	return (float64(j.Waiting) + float64(j.Live)/2) * j.EstimateS * need
}

// Need is what a task takes.
func Need(j *protocol.Job) Res { return Res{j.Cores, j.GPUs, j.MemGB} }

// giveBack is how long a machine is kept idle: a number of boots, which is what
// having it again would take, the fewer the dearer it is against the cheapest
// way to have its type.
func (s *Snapshot) giveBack(m *Machine) float64 {
	t := &s.Types[m.Type]
	price := t.PriceOf(m.Spot)
	low := math.Min(price, t.Price)
	if t.SpotPrice > 0 {
		low = math.Min(low, t.SpotPrice)
	}
	return s.GiveBack * t.BootS * low / price
}

func quota(t *Team, need Res) int {
	n := math.MaxInt32
	for _, q := range [][3]float64{{t.Max.Cores, t.Used.Cores, need.Cores}, {t.Max.GPUs, t.Used.GPUs, need.GPUs}} {
		if q[0] > 0 && q[2] > 0 {
			n = min(n, int(math.Floor((q[0]-q[1])/q[2]+eps)))
		}
	}
	return max(0, n)
}
