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
	s    *Snapshot
	plan Plan
	// pool is the machines with what this plan puts on them, and what it rents.
	pool []Machine
	// place in the order of each job: what comes before is never stopped.
	pos []int
	// open lists the machines, of the pool, that have room for something that
	// waits; victims those with work that could be stopped for production or
	// for work with GPUs.
	open, victims []int
	kept          []int // machines kept free for gangs that have waited too long
	// full remembers which kinds of tasks found no more room: room only shrinks
	// within a plan, so like tasks need not look again.
	full map[kindOfTask]bool
	// spare counts what is rented for production.
	spare    map[Offer]int
	gpuWaits bool // work with GPUs waits
	// gpuLeft is when each held machine's work is likely to end, seconds from
	// now, with the waiting work that was counted against it.
	gpuLeft []float64
	teams   []Team // with what this plan starts
	// aheadCores and aheadGPUs are the waiting work, in need times seconds, that
	// goes before for the held machines, of which heldCores and heldGPUs are the size.
	aheadCores, aheadGPUs float64
	heldCores, heldGPUs   float64
}

// kindOfTask is what the search for room depends on. Only kinds without
// conditions on zones and numbers are remembered.
type kindOfTask struct {
	need    Res
	types   string
	spot    bool
	rank    int
	service bool
	kind    int
	image   string
}

func (p *planner) kind(j *Job, kind int, plain bool) (kindOfTask, bool) {
	d := j.Desc
	if d.OneZone || d.Spread || d.Zone != "" || !plain {
		return kindOfTask{}, false
	}
	k := kindOfTask{need: j.Need, types: strings.Join(d.MachineTypes, " "), spot: d.Spot, rank: j.Rank, service: d.Kind == protocol.KindService, kind: kind}
	if kind == cached || kind == ready {
		k.image = d.Image // a machine takes only so many images at once
	}
	return k, true
}

// index finds the machines that matter to this plan.
func (p *planner) index() {
	least := Res{math.Inf(1), math.Inf(1), math.Inf(1)}
	for i := range p.s.Jobs {
		if j := &p.s.Jobs[i]; j.Waiting > 0 && !j.Resting {
			least = Res{math.Min(least.Cores, j.Need.Cores), math.Min(least.GPUs, j.Need.GPUs), math.Min(least.Mem, j.Need.Mem)}
		}
	}
	for i := range p.pool {
		m := &p.pool[i]
		if (m.Ready || m.Coming) && m.Free.Cores >= least.Cores-eps && m.Free.GPUs >= least.GPUs-eps && m.Free.Mem >= least.Mem-eps {
			p.open = append(p.open, i)
		}
		if m.Ready && slices.ContainsFunc(m.Tasks, func(r Running) bool { return p.s.Jobs[r.Job].Rank > 0 }) {
			p.victims = append(p.victims, i)
		}
	}
}

// Decide makes the plan.
func Decide(s *Snapshot) Plan {
	p := &planner{s: s, pool: slices.Clone(s.Machines), full: map[kindOfTask]bool{}, spare: map[Offer]int{}, teams: slices.Clone(s.Teams)}
	p.heldCores, p.heldGPUs = held(s)
	p.index()
	order := p.order()
	for _, ji := range order {
		p.serve(ji)
	}
	p.rentSpare()
	if s.MayReturn {
		p.giveBack()
	}
	return p.plan
}

// order sorts the jobs by who is served first and notes each one's place.
func (p *planner) order() []int {
	order := Order(p.s)
	p.pos = make([]int, len(p.s.Jobs))
	for i, ji := range order {
		j := &p.s.Jobs[ji]
		p.pos[ji] = i
		p.gpuWaits = p.gpuWaits || (j.Need.GPUs > 0 && j.Waiting > 0 && !j.Resting)
	}
	return order
}

// serve places what waits of a job, makes room for it, and rents for it once its
// slack is spent.
func (p *planner) serve(ji int) {
	j := &p.s.Jobs[ji]
	if j.Waiting == 0 || j.Resting {
		return
	}
	n := min(j.Waiting, quota(&p.teams[j.Team], j.Need))
	gang := j.Desc.Kind == protocol.KindGang
	if n == 0 || (gang && n < j.Waiting) {
		return
	}
	keepOff := withoutGPU(p.s, j)
	zones := map[string]int{}
	maps.Copy(zones, j.ZoneLive)
	if j.Rank == 0 && j.Desc.Kind == protocol.KindService {
		n -= p.serveCached(ji, n, zones, keepOff)
	}
	// Held machines first (P1): least price times estimate.
	got := p.place(ji, n, zones, keepOff, gang, ready)
	p.use(j, got)
	if n -= got; n == 0 {
		return
	}
	boot := bootOf(p.s, j)
	slack := p.slack(j, n, boot)
	if j.Rank == 0 || j.Need.GPUs > 0 {
		n -= p.makeRoom(ji, n, zones, keepOff, false)
	}
	in, all := anywhere, n // where the gang gathers
	if gang {
		in, n = p.gather(ji, n, keepOff)
	} else {
		n -= p.place(ji, n, zones, keepOff, false, coming)
	}
	if slack > 0 || n == 0 {
		return
	}
	p.plan.Late = append(p.plan.Late, ji)
	// A rental helps only if it is up before held machines get to it
	// (Algorithm 1, steps 12-14: wait for the machine that is free soon).
	// This holds for work with GPUs, whose machines are dear and take one
	// task each; small work is spread over all that can be had.
	if p.s.MayRent && (j.Need.GPUs == 0 || p.gpuWait(j, all, in) > boot) {
		p.rent(ji, n, zones, keepOff, in)
	}
}

// serveCached places player-facing work where its image is, even if lower work has
// to be stopped there: a fetch takes longer than it may wait. It returns for how many
// tasks there is or will be room.
func (p *planner) serveCached(ji, n int, zones map[string]int, keepOff bool) int {
	got := p.place(ji, n, zones, keepOff, false, cached)
	p.use(&p.s.Jobs[ji], got)
	return got + p.makeRoom(ji, n-got, zones, keepOff, true)
}

// use counts started tasks against the team's limit.
func (p *planner) use(j *Job, tasks int) {
	p.teams[j.Team].Used = p.teams[j.Team].Used.Sub(j.Need, -tasks)
}

// slack is W_k of a job of which n tasks find no room, with the boot that a rental
// would take. The estimate includes what waits ahead for the same held room, so that
// W_k is spent while renting still helps.
func (p *planner) slack(j *Job, n int, boot float64) float64 {
	const longest = 1e6 // seconds; without held machines the queue has no end
	work := float64(n) * j.EstimateS
	queue := 0.0
	if j.Need.GPUs > 0 {
		p.aheadGPUs += work * j.Need.GPUs
		queue = p.aheadGPUs / math.Max(p.heldGPUs, eps)
	} else {
		p.aheadCores += work * j.Need.Cores
		queue = p.aheadCores / math.Max(p.heldCores, eps)
	}
	return math.Max(0, j.DueS-p.s.Rho*(j.EstimateS+math.Min(queue, longest))-boot)
}

// rentSpare rents half as many machines again for production: boots vary by more
// than its aims allow, and the images of a first fleet come sooner over more machines.
func (p *planner) rentSpare() {
	for i := range p.plan.Rents {
		p.plan.Rents[i].Count += p.spare[p.plan.Rents[i].Offer] / 2
	}
}

// giveBack returns the machines that have been idle for long enough.
func (p *planner) giveBack() {
	taken := make([]bool, len(p.s.Machines))
	for _, st := range p.plan.Starts {
		taken[st.Machine] = true
	}
	for _, i := range p.kept {
		if i < len(taken) {
			taken[i] = true
		}
	}
	for i := range p.s.Machines {
		m := &p.s.Machines[i]
		idle := m.IdleS
		if p.s.Types[m.Type].Total.GPUs > 0 {
			idle = m.GPUIdleS
		}
		if m.Ready && m.Empty && !taken[i] && idle >= p.s.giveBack(m) {
			p.plan.Returns = append(p.plan.Returns, i)
		}
	}
}
