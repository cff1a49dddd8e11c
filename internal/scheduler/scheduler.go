// Package scheduler decides, after DRPA, what runs where and what is rented. It is
// pure: a snapshot in, a plan out; no clock, no I/O.
package scheduler

import (
	"maps"
	"slices"

	"marblehaven/internal/protocol"
)

type planner struct {
	snapshot *Snapshot
	plan     Plan
	// pool is the machines with what this plan puts on them, and what it rents.
	pool []Machine
	// place in the order of each job: what comes before is never stopped.
	orderPosition []int
	// withCapacity lists the machines, of the pool, that have room for something that
	// waits; victims those with work that could be stopped for production or
	// for work with GPUs.
	withCapacity, preemptible []int
	reserved                  []int // machines kept free for gangs that have waited too long
	// exhaustedKinds remembers which kinds of tasks found no more room: room only shrinks
	// within a plan, so like tasks need not look again.
	exhaustedKinds map[taskKind]bool
	// productionScaleOuts counts what is rented for production.
	productionScaleOuts map[CapacityPool]int
	gpuWaits            bool // work with GPUs waits
	// gpuFreeInS is when each held machine's work is likely to end, seconds from
	// now, with the waiting work that was counted against it.
	gpuFreeInS []float64
	teams      []Team // with what this plan starts
	// queuedCores and aheadGPUs are the waiting work, in need times seconds, that
	// goes before for the held machines, of which provisioned is the size.
	queuedCores, queuedGPUs float64
	provisioned             provisionedCapacity
}

// Decide makes the plan.
func Decide(snapshot *Snapshot) Plan {
	p := &planner{snapshot: snapshot, pool: slices.Clone(snapshot.Machines), exhaustedKinds: map[taskKind]bool{}, productionScaleOuts: map[CapacityPool]int{}, teams: slices.Clone(snapshot.Teams)}
	p.provisioned = provisionedCapacityOf(snapshot)
	p.indexMachines()
	order := p.order()
	for _, jobIndex := range order {
		p.scheduleJob(jobIndex)
	}
	p.addHeadroom()
	if snapshot.MayScaleIn {
		p.scaleIn()
	}
	return p.plan
}

// order sorts the jobs by who is served first and notes each one's place.
func (p *planner) order() []int {
	order := Order(p.snapshot)
	p.orderPosition = make([]int, len(p.snapshot.Jobs))
	for i, jobIndex := range order {
		job := &p.snapshot.Jobs[jobIndex]
		p.orderPosition[jobIndex] = i
		p.gpuWaits = p.gpuWaits || (job.Request.GPUs > 0 && job.Waiting > 0 && !job.BackingOff)
	}
	return order
}

// scheduleJob places what waits of a job, makes room for it, and rents for it once its
// slack is spent.
func (p *planner) scheduleJob(jobIndex int) {
	job := &p.snapshot.Jobs[jobIndex]
	if job.Waiting == 0 || job.BackingOff {
		return
	}
	tasks := min(job.Waiting, tasksWithinQuota(&p.teams[job.Team], job.Request))
	gang := job.isGang()
	if tasks == 0 || (gang && tasks < job.Waiting) {
		return
	}
	avoidGPUs := avoidsGPUMachines(p.snapshot, job)
	tasksByZone := map[string]int{}
	maps.Copy(tasksByZone, job.RunningByZone)
	if job.Priority == 0 && job.Spec.Kind == protocol.KindService {
		tasks -= p.scheduleOnCachedImage(jobIndex, tasks, tasksByZone, avoidGPUs)
	}
	// Held machines first (P1): least price times estimate.
	placed := p.place(jobIndex, tasks, tasksByZone, avoidGPUs, gang, targetReady)
	p.chargeQuota(job, placed)
	if tasks -= placed; tasks == 0 {
		return
	}
	bootS := bootTimeS(p.snapshot, job)
	slack := p.slack(job, tasks, bootS)
	if job.Priority == 0 || job.Request.GPUs > 0 {
		tasks -= p.preempt(jobIndex, tasks, tasksByZone, avoidGPUs, false)
	}
	gangZone, missing := anyZone, tasks // where the gang gathers
	if gang {
		gangZone, tasks = p.reserveForGang(jobIndex, tasks, avoidGPUs)
	} else {
		tasks -= p.place(jobIndex, tasks, tasksByZone, avoidGPUs, false, targetBooting)
	}
	if slack > 0 || tasks == 0 {
		return
	}
	p.plan.SlackSpent = append(p.plan.SlackSpent, jobIndex)
	// A rental helps only if it is up before held machines get to it
	// (Algorithm 1, steps 12-14: wait for the machine that is free soon).
	// This holds for work with GPUs, whose machines are dear and take one
	// task each; small work is spread over all that can be had.
	if p.snapshot.MayScaleOut && (job.Request.GPUs == 0 || p.gpuWaitS(job, missing, gangZone) > bootS) {
		p.scaleOut(jobIndex, tasks, tasksByZone, avoidGPUs, gangZone)
	}
}

// scheduleOnCachedImage places player-facing work where its image is, even if lower work has
// to be stopped there: a fetch takes longer than it may wait. It returns for how many
// tasks there is or will be room.
func (p *planner) scheduleOnCachedImage(jobIndex, tasks int, tasksByZone map[string]int, avoidGPUs bool) int {
	placed := p.place(jobIndex, tasks, tasksByZone, avoidGPUs, false, targetCached)
	p.chargeQuota(&p.snapshot.Jobs[jobIndex], placed)
	return placed + p.preempt(jobIndex, tasks-placed, tasksByZone, avoidGPUs, true)
}
