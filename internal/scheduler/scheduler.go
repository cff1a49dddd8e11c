// Package scheduler decides, after DRPA, what runs where and what is rented. It is
// pure: a snapshot in, a plan out; no clock, no I/O.
package scheduler

import (
	"maps"
	"math"
	"slices"
	"strings"

	"marblehaven/internal/protocol"
)

type planner struct {
	snapshot *Snapshot
	plan     Plan
	// pool is the machines with what this plan puts on them, and what it rents.
	pool []Machine
	// place in the order of each job: what comes before is never stopped.
	servingOrder []int
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
	// goes before for the held machines, of which heldCores and heldGPUs are the size.
	queuedCores, queuedGPUs float64
	heldCores, heldGPUs     float64
}

// taskKind is what the search for room depends on. Only kinds without
// conditions on zones and numbers are remembered.
type taskKind struct {
	request  Resources
	types    string
	spot     bool
	priority int
	service  bool
	target   int
	image    string
}

func (p *planner) taskKind(j *Job, kind int, plain bool) (taskKind, bool) {
	d := j.Spec
	if d.OneZone || d.Spread || d.Zone != "" || !plain {
		return taskKind{}, false
	}
	k := taskKind{request: j.Request, types: strings.Join(d.MachineTypes, " "), spot: d.Spot, priority: j.Priority, service: d.Kind == protocol.KindService, target: kind}
	if kind == targetCached || kind == targetReady {
		k.image = d.Image // a machine takes only so many images at once
	}
	return k, true
}

// indexMachines finds the machines that matter to this plan.
func (p *planner) indexMachines() {
	least := Resources{math.Inf(1), math.Inf(1), math.Inf(1)}
	for i := range p.snapshot.Jobs {
		if j := &p.snapshot.Jobs[i]; j.Waiting > 0 && !j.BackingOff {
			least = Resources{math.Min(least.Cores, j.Request.Cores), math.Min(least.GPUs, j.Request.GPUs), math.Min(least.MemGB, j.Request.MemGB)}
		}
	}
	for i := range p.pool {
		m := &p.pool[i]
		if (m.Schedulable || m.Booting) && m.Free.Cores >= least.Cores-eps && m.Free.GPUs >= least.GPUs-eps && m.Free.MemGB >= least.MemGB-eps {
			p.withCapacity = append(p.withCapacity, i)
		}
		if m.Schedulable && slices.ContainsFunc(m.Tasks, func(r RunningTasks) bool { return p.snapshot.Jobs[r.Job].Priority > 0 }) {
			p.preemptible = append(p.preemptible, i)
		}
	}
}

// Decide makes the plan.
func Decide(s *Snapshot) Plan {
	p := &planner{snapshot: s, pool: slices.Clone(s.Machines), exhaustedKinds: map[taskKind]bool{}, productionScaleOuts: map[CapacityPool]int{}, teams: slices.Clone(s.Teams)}
	p.heldCores, p.heldGPUs = heldCapacity(s)
	p.indexMachines()
	order := p.order()
	for _, ji := range order {
		p.scheduleJob(ji)
	}
	p.addHeadroom()
	if s.MayScaleIn {
		p.scaleIn()
	}
	return p.plan
}

// order sorts the jobs by who is served first and notes each one's place.
func (p *planner) order() []int {
	order := Order(p.snapshot)
	p.servingOrder = make([]int, len(p.snapshot.Jobs))
	for i, ji := range order {
		j := &p.snapshot.Jobs[ji]
		p.servingOrder[ji] = i
		p.gpuWaits = p.gpuWaits || (j.Request.GPUs > 0 && j.Waiting > 0 && !j.BackingOff)
	}
	return order
}

// scheduleJob places what waits of a job, makes room for it, and rents for it once its
// slack is spent.
func (p *planner) scheduleJob(ji int) {
	j := &p.snapshot.Jobs[ji]
	if j.Waiting == 0 || j.BackingOff {
		return
	}
	n := min(j.Waiting, tasksWithinQuota(&p.teams[j.Team], j.Request))
	gang := j.Spec.Kind == protocol.KindGang
	if n == 0 || (gang && n < j.Waiting) {
		return
	}
	keepOff := avoidsGPUMachines(p.snapshot, j)
	zones := map[string]int{}
	maps.Copy(zones, j.RunningByZone)
	if j.Priority == 0 && j.Spec.Kind == protocol.KindService {
		n -= p.scheduleOnCachedImage(ji, n, zones, keepOff)
	}
	// Held machines first (P1): least price times estimate.
	got := p.place(ji, n, zones, keepOff, gang, targetReady)
	p.chargeQuota(j, got)
	if n -= got; n == 0 {
		return
	}
	boot := bootTimeS(p.snapshot, j)
	slack := p.slack(j, n, boot)
	if j.Priority == 0 || j.Request.GPUs > 0 {
		n -= p.preempt(ji, n, zones, keepOff, false)
	}
	in, all := anyZone, n // where the gang gathers
	if gang {
		in, n = p.reserveForGang(ji, n, keepOff)
	} else {
		n -= p.place(ji, n, zones, keepOff, false, targetBooting)
	}
	if slack > 0 || n == 0 {
		return
	}
	p.plan.SlackSpent = append(p.plan.SlackSpent, ji)
	// A rental helps only if it is up before held machines get to it
	// (Algorithm 1, steps 12-14: wait for the machine that is free soon).
	// This holds for work with GPUs, whose machines are dear and take one
	// task each; small work is spread over all that can be had.
	if p.snapshot.MayScaleOut && (j.Request.GPUs == 0 || p.gpuWaitS(j, all, in) > boot) {
		p.scaleOut(ji, n, zones, keepOff, in)
	}
}

// scheduleOnCachedImage places player-facing work where its image is, even if lower work has
// to be stopped there: a fetch takes longer than it may wait. It returns for how many
// tasks there is or will be room.
func (p *planner) scheduleOnCachedImage(ji, n int, zones map[string]int, keepOff bool) int {
	got := p.place(ji, n, zones, keepOff, false, targetCached)
	p.chargeQuota(&p.snapshot.Jobs[ji], got)
	return got + p.preempt(ji, n-got, zones, keepOff, true)
}

// chargeQuota counts started tasks against the team's limit.
func (p *planner) chargeQuota(j *Job, tasks int) {
	p.teams[j.Team].Used = p.teams[j.Team].Used.Minus(j.Request, -tasks)
}

// slack is W_k of a job of which n tasks find no room, with the boot that a rental
// would take. The estimate includes what waits ahead for the same held room, so that
// W_k is spent while renting still helps.
func (p *planner) slack(j *Job, n int, boot float64) float64 {
	const longest = 1e6 // seconds; without held machines the queue has no end
	work := float64(n) * j.EstimateS
	queue := 0.0
	if j.Request.GPUs > 0 {
		p.queuedGPUs += work * j.Request.GPUs
		queue = p.queuedGPUs / math.Max(p.heldGPUs, eps)
	} else {
		p.queuedCores += work * j.Request.Cores
		queue = p.queuedCores / math.Max(p.heldCores, eps)
	}
	return math.Max(0, j.DeadlineS-p.snapshot.Rho*(j.EstimateS+math.Min(queue, longest))-boot)
}

// addHeadroom rents half as many machines again for production: boots vary by more
// than its aims allow, and the images of a first fleet come sooner over more machines.
func (p *planner) addHeadroom() {
	for i := range p.plan.ScaleOuts {
		p.plan.ScaleOuts[i].Count += p.productionScaleOuts[p.plan.ScaleOuts[i].CapacityPool] / 2
	}
}

// scaleIn returns the machines that have been idle for long enough.
func (p *planner) scaleIn() {
	taken := make([]bool, len(p.snapshot.Machines))
	for _, st := range p.plan.Starts {
		taken[st.Machine] = true
	}
	for _, i := range p.reserved {
		if i < len(taken) {
			taken[i] = true
		}
	}
	for i := range p.snapshot.Machines {
		m := &p.snapshot.Machines[i]
		idle := m.IdleS
		if p.snapshot.Types[m.Type].Capacity.GPUs > 0 {
			idle = m.GPUIdleS
		}
		if m.Schedulable && m.Empty && !taken[i] && idle >= p.snapshot.idleTimeout(m) {
			p.plan.ScaleIns = append(p.plan.ScaleIns, i)
		}
	}
}
