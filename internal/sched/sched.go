// Package sched decides, after DRPA, what runs where and what is rented. It is
// pure: a snapshot in, a plan out; no clock, no I/O.
package sched

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"
	"strings"

	"marblehaven/internal/tuning"
	"marblehaven/internal/wire"
)

const eps = 1e-9

// LowestRank is the rank that everything else may stop.
const LowestRank = 3

// Res is an amount of machine resources.
type Res struct{ Cores, Cards, Mem float64 }

// Sub takes n times r away.
func (a Res) Sub(r Res, n int) Res {
	f := float64(n)
	return Res{a.Cores - f*r.Cores, a.Cards - f*r.Cards, a.Mem - f*r.Mem}
}

// Slots is how often need fits into a.
func (a Res) Slots(need Res) int {
	n := math.MaxInt32
	for _, p := range [][2]float64{{a.Cores, need.Cores}, {a.Cards, need.Cards}, {a.Mem, need.Mem}} {
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
	ID        string
	Type      int
	Zone      string
	Spot      bool
	Free      Res
	Ready     bool     // may be given work now
	Coming    bool     // boots: its room counts as coming
	Empty     bool     // nothing may be on it
	IdleS     float64  // how long it has been empty
	CardIdleS float64  // with cards: how long none of them has been in use
	Images    []string // that it has or is fetching
	FetchGB   float64  // still to be fetched for what is on it
	Tasks     []Running
}

func (m *Machine) has(image string) bool { return slices.Contains(m.Images, image) }

// Job is a job with tasks waiting.
type Job struct {
	Ref        string
	Desc       *wire.Job
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
	// OverdueShare is the part of the held machines that may be kept for what
	// has waited too long.
	OverdueShare float64
	// OverdueShareIdle is the part that the lowest rank may have while it is so
	// served, with what of it runs.
	OverdueShareIdle float64
	// CardRank is the lowest rank of the work with cards that has been seen, -1
	// if there was none; CardNeed is the most that a task of it takes.
	CardRank int
	CardNeed Res
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

// Order sorts job indices by who is served first: player-facing production
// work, then what has waited too long, then work within a guarantee, then rank.
// Among equals the earliest deadline goes first, but where not all can be in
// time, the jobs that take the most room for what they count go behind the
// others, so that the most are (Moore's rule).
func Order(s *Snapshot) []int {
	idx := make([]int, len(s.Jobs))
	for i := range idx {
		idx[i] = i
	}
	cores, cards := held(s)
	first := promoted(s, cores, cards)
	group := func(a, b int) int {
		x, y := &s.Jobs[a], &s.Jobs[b]
		return cmp.Or(
			cmpBool(x.Rank == 0, y.Rank == 0),
			cmpBool(first[a], first[b]),
			cmpBool(x.Guaranteed, y.Guaranteed),
			cmp.Compare(x.Rank, y.Rank),
			cmpBool(x.Need.Cards > 0, y.Need.Cards > 0))
	}
	slices.SortStableFunc(idx, func(a, b int) int {
		x, y := &s.Jobs[a], &s.Jobs[b]
		if first[a] && first[b] {
			return overdue(x, y) // production is never among them
		}
		return cmp.Or(group(a, b), cmp.Compare(x.DueS, y.DueS), cmp.Compare(x.Ref, y.Ref))
	})
	load := 0.0 // time that the held machines need for what goes before
	loadCards := 0.0
	for i := 0; i < len(idx); {
		n := i + 1
		for n < len(idx) && group(idx[i], idx[n]) == 0 {
			n++
		}
		if s.Jobs[idx[i]].Need.Cards > 0 {
			loadCards = inTime(s, idx[i:n], loadCards, first[idx[i]], func(j *Job) float64 { return j.work(j.Need.Cards) / math.Max(cards, 1) })
		} else {
			load = inTime(s, idx[i:n], load, first[idx[i]], func(j *Job) float64 { return j.work(j.Need.Cores) / math.Max(cores, 1) })
		}
		i = n
	}
	return idx
}

// promoted picks the jobs that have waited too long, the longest first, as long
// as what waits of them fits into a part of the held machines: without the bound
// an overload would turn all into a queue in which everything is late.
func promoted(s *Snapshot, cores, cards float64) []bool {
	first := make([]bool, len(s.Jobs))
	var old []int
	for i := range s.Jobs {
		if j := &s.Jobs[i]; j.OverdueS > 0 && j.Waiting > 0 && !j.Resting && j.Rank > 0 {
			old = append(old, i)
		}
	}
	slices.SortFunc(old, func(a, b int) int { return overdue(&s.Jobs[a], &s.Jobs[b]) })
	leftCores, leftCards := cores*s.OverdueShare, cards*s.OverdueShare
	idle := cores * s.OverdueShareIdle // of the lowest rank, with what of it runs
	for i := range s.Jobs {
		if j := &s.Jobs[i]; j.Rank == LowestRank && j.Need.Cards == 0 {
			idle -= j.Need.Cores * float64(j.Live)
		}
	}
	anyCores, anyCards := false, false
	for _, i := range old {
		j := &s.Jobs[i]
		n := float64(j.Waiting)
		if j.Rank == LowestRank && j.Need.Cards == 0 {
			if idle <= 0 {
				continue
			}
			idle -= j.Need.Cores * n
		}
		left, some, need := &leftCores, &anyCores, j.Need.Cores
		if j.Need.Cards > 0 {
			left, some, need = &leftCards, &anyCards, j.Need.Cards
		}
		if !*some || need*n <= *left {
			first[i], *some = true, true
			*left -= need * n
		}
	}
	return first
}

// overdue orders jobs that have waited too long, the longest first. Those that
// are too late anyway come behind those that can still begin in time: in a long
// overload the others would all be too late by a little.
func overdue(x, y *Job) int {
	return cmp.Or(cmpBool(!x.TooLate, !y.TooLate), cmp.Compare(y.OverdueS, x.OverdueS), cmp.Compare(x.Ref, y.Ref))
}

// work is what is left to do of the job, in need times seconds.
func (j *Job) work(need float64) float64 {
	return (float64(j.Waiting) + float64(j.Live)/2) * j.EstimateS * need
}

// held is the size of the held machines: cores of those without cards, and
// cards.
func held(s *Snapshot) (cores, cards float64) {
	for i := range s.Machines {
		m := &s.Machines[i]
		if m.Ready || m.Coming || len(m.Tasks) > 0 {
			t := s.Types[m.Type].Total
			cards += t.Cards
			if t.Cards == 0 {
				cores += t.Cores
			}
		}
	}
	return cores, cards
}

// inTime puts the jobs of a group that can be in time first, in the order they
// are given, then the others, the smallest for what it counts first. It returns
// the load after it. Where the order is fixed nothing is put behind.
func inTime(s *Snapshot, idx []int, load float64, fixed bool, takes func(*Job) float64) float64 {
	by := make(largest, 0, len(idx))
	late := make([]bool, len(idx))
	var later []int
	for k, ji := range idx {
		j := &s.Jobs[ji]
		t := takes(j)
		load += t
		if fixed {
			continue
		}
		heap.Push(&by, sized{k, t, t / math.Max(j.Counts, 1)})
		if load+j.EstimateS <= j.DueS {
			continue
		}
		big := heap.Pop(&by).(sized)
		load -= big.takes
		late[big.k] = true
		later = append(later, big.k)
	}
	if len(later) == 0 {
		return load
	}
	per := func(k int) float64 { j := &s.Jobs[idx[k]]; return takes(j) / math.Max(j.Counts, 1) }
	slices.SortFunc(later, func(a, b int) int { return cmp.Or(cmp.Compare(per(a), per(b)), cmp.Compare(a, b)) })
	out := make([]int, 0, len(idx))
	for k, ji := range idx {
		if !late[k] {
			out = append(out, ji)
		}
	}
	for _, k := range later {
		out = append(out, idx[k])
		load += takes(&s.Jobs[idx[k]])
	}
	copy(idx, out)
	return load
}

// sized is the k-th job of a group with its load, in all and for each that
// counts; largest is a heap with the largest, and of equals the last, on top.
type sized struct {
	k          int
	takes, per float64
}

type largest []sized

func (l largest) Len() int { return len(l) }
func (l largest) Less(a, b int) bool {
	return l[a].per > l[b].per || (l[a].per == l[b].per && l[a].k > l[b].k)
}
func (l largest) Swap(a, b int) { l[a], l[b] = l[b], l[a] }
func (l *largest) Push(x any)   { *l = append(*l, x.(sized)) }
func (l *largest) Pop() any {
	x := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return x
}

func cmpBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	}
	return 1
}

// cardless tells for a job whether it must keep off machines with cards: work
// without need of cards would keep dear machines from the work that needs them.
func cardless(s *Snapshot, j *Job) bool {
	if j.Need.Cards > 0 {
		return false
	}
	for i := range s.Types {
		if s.Types[i].Total.Cards == 0 && TypeFits(&s.Types[i], j.Desc) {
			return true
		}
	}
	return false
}

// Need is what a task takes.
func Need(j *wire.Job) Res { return Res{j.Cores, j.Cards, j.MemGB} }

// TypeFits tells whether a task of the job can run on an empty machine of the
// type in some zone that the job allows.
func TypeFits(t *Type, j *wire.Job) bool {
	return (len(j.Types) == 0 || slices.Contains(j.Types, t.Name)) &&
		(j.Zone == "" || slices.Contains(t.Zones, j.Zone)) && t.Total.Slots(Need(j)) > 0
}

// ZoneRoom is how many more tasks of the job may be in the zone.
func ZoneRoom(d *wire.Job, zoneLive map[string]int, zone string) int {
	if d.Zone != "" && d.Zone != zone {
		return 0
	}
	if d.OneZone {
		for z, n := range zoneLive {
			if n > 0 && z != zone {
				return 0
			}
		}
	}
	if d.Spread {
		// A task on a machine whose zone is not known yet, as after a takeover,
		// may be in any.
		return max(0, (d.Tasks+1)/2-zoneLive[zone]-zoneLive[""])
	}
	return d.Tasks
}

type planner struct {
	s    *Snapshot
	plan Plan
	// pool is the machines with what this plan puts on them, and what it rents.
	pool []Machine
	// place in the order of each job: what comes before is never stopped.
	pos []int
	// open lists the machines, of the pool, that have room for something that
	// waits; victims those with work that could be stopped for production or
	// for work with cards.
	open, victims []int
	kept          []int // machines kept free for gangs that have waited too long
	// full remembers which kinds of tasks found no more room: room only shrinks
	// within a plan, so like tasks need not look again.
	full map[kindOfTask]bool
	// spare counts what is rented for production.
	spare     map[Offer]int
	cardWaits bool // work with cards waits
	// cardLeft is when each held machine's work is likely to end, seconds from
	// now, with the waiting work that was counted against it.
	cardLeft []float64
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
	k := kindOfTask{need: j.Need, types: strings.Join(d.Types, " "), spot: d.Spot, rank: j.Rank, service: d.Shape == wire.Service, kind: kind}
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
			least = Res{math.Min(least.Cores, j.Need.Cores), math.Min(least.Cards, j.Need.Cards), math.Min(least.Mem, j.Need.Mem)}
		}
	}
	for i := range p.pool {
		m := &p.pool[i]
		if (m.Ready || m.Coming) && m.Free.Cores >= least.Cores-eps && m.Free.Cards >= least.Cards-eps && m.Free.Mem >= least.Mem-eps {
			p.open = append(p.open, i)
		}
		if m.Ready && slices.ContainsFunc(m.Tasks, func(r Running) bool { return p.s.Jobs[r.Job].Rank > 0 }) {
			p.victims = append(p.victims, i)
		}
	}
}

// Decide makes the plan.
func Decide(s *Snapshot) Plan {
	p := &planner{s: s, pool: slices.Clone(s.Machines), full: map[kindOfTask]bool{}, spare: map[Offer]int{}}
	p.index()
	taken := make([]bool, len(s.Machines))
	var ahead, aheadCards float64
	heldCores, heldCards := held(s)
	teams := slices.Clone(s.Teams)
	order := Order(s)
	p.pos = make([]int, len(s.Jobs))
	for i, ji := range order {
		j := &s.Jobs[ji]
		p.pos[ji] = i
		p.cardWaits = p.cardWaits || (j.Need.Cards > 0 && j.Waiting > 0 && !j.Resting)
	}
	for _, ji := range order {
		j := &s.Jobs[ji]
		n := j.Waiting
		if n == 0 || j.Resting {
			continue
		}
		n = min(n, quota(&teams[j.Team], j.Need))
		gang := j.Desc.Shape == wire.Gang
		if n == 0 || (gang && n < j.Waiting) {
			continue
		}
		keepOff := cardless(s, j)
		zones := map[string]int{}
		for z, c := range j.ZoneLive {
			zones[z] = c
		}
		// Player-facing work goes where its image is, even if lower work has
		// to be stopped there: a fetch takes longer than it may wait.
		if j.Rank == 0 && j.Desc.Shape == wire.Service {
			got := p.place(ji, n, zones, keepOff, gang, cached)
			n -= p.makeRoom(ji, n-got, zones, keepOff, true)
			n -= got
			teams[j.Team].Used = teams[j.Team].Used.Sub(j.Need, -got)
		}
		// Held machines first (P1): least price times estimate.
		got := p.place(ji, n, zones, keepOff, gang, ready)
		teams[j.Team].Used = teams[j.Team].Used.Sub(j.Need, -got)
		n -= got
		if n == 0 {
			continue
		}
		// The estimate includes what waits ahead for the same held room, so
		// that W_k is spent while renting still helps.
		work := float64(n) * j.EstimateS
		queue := 0.0
		if j.Need.Cards > 0 {
			aheadCards += work * j.Need.Cards
			queue = aheadCards / math.Max(heldCards, eps)
		} else {
			ahead += work * j.Need.Cores
			queue = ahead / math.Max(heldCores, eps)
		}
		boot := bootOf(s, j)
		slack := math.Max(0, j.DueS-s.Rho*(j.EstimateS+math.Min(queue, 1e6))-boot)
		if j.Rank == 0 || j.Need.Cards > 0 {
			n -= p.makeRoom(ji, n, zones, keepOff, false)
		}
		in, all := "", n // where the gang gathers
		if gang {
			in, n = p.gather(ji, n, keepOff)
		} else {
			n -= p.place(ji, n, zones, keepOff, false, coming)
		}
		if slack > 0 || n == 0 {
			continue
		}
		p.plan.Late = append(p.plan.Late, ji)
		// A rental helps only if it is up before held machines get to it
		// (Algorithm 1, steps 12-14: wait for the machine that is free soon).
		// This holds for work with cards, whose machines are dear and take one
		// task each; small work is spread over all that can be had.
		if s.MayRent && (j.Need.Cards == 0 || p.cardWait(j, all, in) > boot) {
			p.rent(ji, n, zones, keepOff, in)
		}
	}
	// For production half as many again: boots vary by more than its aims
	// allow, and the images of a first fleet come sooner over more machines.
	for i := range p.plan.Rents {
		p.plan.Rents[i].Count += p.spare[p.plan.Rents[i].Offer] / 2
	}
	for _, st := range p.plan.Starts {
		taken[st.Machine] = true
	}
	for _, i := range p.kept {
		taken[i] = true
	}
	if s.MayReturn {
		for i := range s.Machines {
			m := &s.Machines[i]
			idle := m.IdleS
			if s.Types[m.Type].Total.Cards > 0 {
				idle = m.CardIdleS
			}
			if m.Ready && m.Empty && !taken[i] && idle >= s.giveBack(m) {
				p.plan.Returns = append(p.plan.Returns, i)
			}
		}
	}
	return p.plan
}

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

// cardWait is when the held machines are likely to have room for n tasks of a
// job with cards, in the zone given or, if it needs one, in the best; those
// machines then count as taken for as long as the job runs.
func (p *planner) cardWait(j *Job, n int, in string) float64 {
	if p.cardLeft == nil {
		p.cardLeft = make([]float64, len(p.s.Machines))
		for i := range p.s.Machines {
			for _, r := range p.s.Machines[i].Tasks {
				p.cardLeft[i] = math.Max(p.cardLeft[i], r.LeftS)
			}
		}
	}
	byZone := map[string][]int{}
	for i := range p.s.Machines {
		m := &p.s.Machines[i]
		if p.s.Types[m.Type].Total.Slots(j.Need) == 0 || !(m.Ready || len(m.Tasks) > 0) || !p.allowed(m, j.Desc) || (in != "" && m.Zone != in) {
			continue
		}
		z := anywhere
		if j.Desc.OneZone {
			z = m.Zone
		}
		byZone[z] = append(byZone[z], i)
	}
	best, wait := []int(nil), math.Inf(1)
	for _, z := range slices.Sorted(maps.Keys(byZone)) {
		idx := byZone[z]
		slices.SortStableFunc(idx, func(a, b int) int { return cmp.Compare(p.cardLeft[a], p.cardLeft[b]) })
		left := n
		for k, i := range idx {
			if left -= p.s.Types[p.s.Machines[i].Type].Total.Slots(j.Need); left <= 0 {
				if p.cardLeft[i] < wait {
					best, wait = idx[:k+1], p.cardLeft[i]
				}
				break
			}
		}
	}
	for _, i := range best {
		p.cardLeft[i] += j.EstimateS
	}
	return wait
}

func quota(t *Team, need Res) int {
	n := math.MaxInt32
	for _, q := range [][3]float64{{t.Max.Cores, t.Used.Cores, need.Cores}, {t.Max.Cards, t.Used.Cards, need.Cards}} {
		if q[0] > 0 && q[2] > 0 {
			n = min(n, int(math.Floor((q[0]-q[1])/q[2]+eps)))
		}
	}
	return max(0, n)
}

func bootOf(s *Snapshot, j *Job) float64 {
	best, boot := math.Inf(1), 0.0
	for i := range s.Types {
		t := &s.Types[i]
		if TypeFits(t, j.Desc) && t.Price < best {
			best, boot = t.Price, t.BootS+fetchS(t, j.Desc)
		}
	}
	return boot
}

func fetchS(t *Type, d *wire.Job) float64 {
	if t.FetchGBps <= 0 {
		return 0
	}
	return d.ImageGB / t.FetchGBps
}

func (p *planner) allowed(m *Machine, d *wire.Job) bool {
	return (len(d.Types) == 0 || slices.Contains(d.Types, p.s.Types[m.Type].Name)) && (!m.Spot || d.Spot)
}

// eligible tells whether tasks of the job may be on the machine, where those it
// has are in the given zones and need a machine of their own.
func (p *planner) eligible(m *Machine, d *wire.Job, zones map[string]int, keepOff bool) bool {
	return p.allowed(m, d) && ZoneRoom(d, zones, m.Zone) > 0 && !(keepOff && p.s.Types[m.Type].Total.Cards > 0)
}

// room is how many tasks of the job the machine takes now. Work that does not
// need cards gets on a machine with cards what its card work leaves over; where
// no card is in use it gets all, if it ranks below the work with cards and can
// be stopped for it. Only work that ends by itself may go there, and none once
// the machine is to be given back: it must not keep a dear machine.
func (p *planner) room(m *Machine, j *Job, keepOff bool) int {
	t := &p.s.Types[m.Type]
	if keepOff && t.Total.Cards > 0 {
		switch {
		case j.Desc.Shape == wire.Service:
			return 0
		case p.cardWork(m):
			if r := p.s.CardNeed; r.Cards > 0 && m.Free.Slots(r) > 0 {
				return m.Free.Sub(r, 1).Slots(j.Need)
			}
		case p.cardWaits || j.Rank <= p.cardRank() || j.Desc.Shape == wire.Gang ||
			m.CardIdleS >= p.s.giveBack(m):
			return 0
		}
	}
	return m.Free.Slots(j.Need)
}

// cardRank is the rank that work on an idle machine with cards must be below.
// As long as no work with cards has been seen, as after a takeover, only the
// lowest rank is certain to be stopped for it.
func (p *planner) cardRank() int {
	if p.s.CardRank < 0 {
		return LowestRank - 1
	}
	return p.s.CardRank
}

// cardWork tells whether work with cards is on the machine.
func (p *planner) cardWork(m *Machine) bool {
	for _, r := range m.Tasks {
		if p.s.Jobs[r.Job].Need.Cards > 0 {
			return true
		}
	}
	return false
}

// On which machines tasks are placed.
const (
	ready  = iota
	cached // ready, and the image is there
	coming // not up yet: tasks are only counted against their room
	// stopping: room that is made by stopping lower work
	stopping
)

// place puts up to n tasks on machines of the kind and returns how many found
// room.
func (p *planner) place(ji, n int, zones map[string]int, keepOff, gang bool, kind int) int {
	if n == 0 {
		return 0
	}
	j := &p.s.Jobs[ji]
	d := j.Desc
	type cand struct {
		m, room    int
		cost, left float64
	}
	sig, like := p.kind(j, kind, !gang)
	if like && p.full[sig] {
		return 0
	}
	var cands []cand
	for _, i := range p.open {
		m := &p.pool[i]
		if (kind == coming && !m.Coming) || (kind != coming && !m.Ready) || !p.allowed(m, d) || (kind == cached && !m.has(d.Image)) {
			continue
		}
		room := p.room(m, j, keepOff)
		if room == 0 || ZoneRoom(d, zones, m.Zone) == 0 {
			continue
		}
		t := &p.s.Types[m.Type]
		est := j.EstimateS
		if !m.has(d.Image) {
			// Fetches share the rate: one after another the first are there
			// sooner, and what waits meanwhile may find a better place.
			if kind == ready && m.FetchGB > tuning.FetchAheadS*t.FetchGBps {
				continue
			}
			est += fetchS(t, d)
			if t.FetchGBps > 0 {
				est += m.FetchGB / t.FetchGBps
			}
		}
		share := 1 / float64(max(1, t.Total.Slots(j.Need)))
		left := m.Free.Cores
		if j.Need.Cards > 0 {
			left = m.CardIdleS // the last used, so that others are given back
		}
		cands = append(cands, cand{i, room, t.PriceOf(m.Spot) * share * math.Max(est, 1), left})
	}
	slices.SortStableFunc(cands, func(a, b cand) int {
		// Equal cost: the fuller machine, so that others empty.
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.left, b.left))
	})
	try := func(only string) ([]Start, int) {
		var starts []Start
		z := map[string]int{}
		for k, v := range zones {
			z[k] = v
		}
		left := n
		for _, c := range cands {
			m := &p.pool[c.m]
			if only != "" && m.Zone != only {
				continue
			}
			k := min(left, c.room, ZoneRoom(d, z, m.Zone))
			if k <= 0 {
				continue
			}
			starts = append(starts, Start{ji, c.m, k})
			z[m.Zone] += k
			if left -= k; left == 0 {
				break
			}
		}
		return starts, n - left
	}
	starts, got := try("")
	if d.OneZone {
		// All in one zone: the zone that takes the most, and of those that take
		// all the one with the least room, so that the other keeps what a larger
		// gang will need.
		starts, got = nil, 0
		room := map[string]int{}
		for _, c := range cands {
			room[p.pool[c.m].Zone] += c.room
		}
		seen, at := map[string]bool{}, ""
		for _, c := range cands {
			if z := p.pool[c.m].Zone; !seen[z] {
				seen[z] = true
				if st, g := try(z); g > got || (g == got && room[z] < room[at]) {
					starts, got, at = st, g, z
				}
			}
		}
	}
	if like && got < n {
		p.full[sig] = true
	}
	if gang && got < n {
		return 0
	}
	for _, st := range starts {
		m := &p.pool[st.Machine]
		m.Free = m.Free.Sub(j.Need, st.Count)
		zones[m.Zone] += st.Count
		if kind != coming {
			if !m.has(d.Image) {
				m.Images = append(slices.Clip(m.Images), d.Image)
				m.FetchGB += d.ImageGB
			}
			m.Tasks = append(slices.Clip(m.Tasks), Running{Job: ji, Count: st.Count})
			p.plan.Starts = append(p.plan.Starts, st)
		}
	}
	return got
}

// anywhere is the zone of a gang without need for one.
const anywhere = ""

// gather looks for the zone in which the most room for a gang is free or coming,
// and returns it with the number of tasks that find none there. What is coming
// is counted against the gang. If the gang has waited too long, what is free and
// coming is kept for it: otherwise smaller ones take every machine that falls
// free, and it never starts (all its machines must be free at once).
func (p *planner) gather(ji, n int, keepOff bool) (zone string, missing int) {
	j := &p.s.Jobs[ji]
	d := j.Desc
	free, comes, whole := map[string]int{}, map[string]int{}, map[string]int{}
	key := func(m *Machine) string {
		if d.OneZone {
			return m.Zone
		}
		return anywhere
	}
	for i := range p.pool {
		m := &p.pool[i]
		if !p.eligible(m, d, nil, keepOff) {
			continue
		}
		whole[key(m)] += p.s.Types[m.Type].Total.Slots(j.Need)
		switch {
		case m.Ready:
			free[key(m)] += m.Free.Slots(j.Need)
		case m.Coming:
			comes[key(m)] += m.Free.Slots(j.Need)
		}
	}
	// Where the machines are too few for all of it, there must be more to rent.
	can := map[string]bool{}
	for z, k := range whole {
		can[z] = k >= n
	}
	for ti := range p.s.Types {
		t := &p.s.Types[ti]
		if !TypeFits(t, d) || (keepOff && t.Total.Cards > 0) {
			continue
		}
		for _, z := range t.Zones {
			if !p.s.Refused[Offer{ti, z, false}] || (d.Spot && !p.s.Refused[Offer{ti, z, true}]) {
				can[key(&Machine{Zone: z})] = true
			}
		}
	}
	best := -1
	for _, z := range slices.Sorted(maps.Keys(can)) {
		if got := min(n, free[z]+comes[z]); can[z] && (z == anywhere || ZoneRoom(d, nil, z) > 0) && (got > best || (got == best && whole[z] > whole[zone])) {
			zone, best = z, got
		}
	}
	if best <= 0 {
		return "", n
	}
	keep := j.OverdueS > 0
	left := n
	for i := range p.pool {
		m := &p.pool[i]
		if left == 0 {
			break
		}
		if key(m) != zone || !(m.Ready || m.Coming) || !p.eligible(m, d, nil, keepOff) {
			continue
		}
		k := min(left, m.Free.Slots(j.Need))
		if m.Coming || keep {
			m.Free = m.Free.Sub(j.Need, k)
		}
		if k > 0 && m.Ready && keep {
			p.kept = append(p.kept, i)
		}
		left -= k
	}
	return zone, left
}

// makeRoom stops the work of the lowest rank, on the machine where the least of
// it is lost. What is already stopping counts as room to come. It returns for
// how many tasks there will be room.
func (p *planner) makeRoom(ji, n int, zones map[string]int, keepOff, cached bool) int {
	j := &p.s.Jobs[ji]
	if j.Desc.Shape == wire.Gang && n > 1 {
		return 0 // a gang starts whole: room for a part of it is of no use
	}
	if n == 0 {
		return 0
	}
	sig, like := p.kind(j, stopping, true)
	if cached {
		like = false
	}
	if like && p.full[sig] {
		return 0
	}
	type victim struct {
		m, rank int // the rank of the highest work that is stopped
		cost    float64
		stops   []Stop
	}
	var found []victim
	for _, i := range p.victims {
		m := &p.pool[i]
		if !m.Ready || !p.eligible(m, j.Desc, zones, keepOff) || (cached && !m.has(j.Desc.Image)) {
			continue
		}
		free, cost, rank := m.Free, 0.0, LowestRank
		var st []Stop
		tasks := m.Tasks
		if len(tasks) > 1 {
			tasks = slices.Clone(tasks)
			slices.SortStableFunc(tasks, func(a, b Running) int {
				return cmp.Or(cmp.Compare(p.s.Jobs[b.Job].Rank, p.s.Jobs[a.Job].Rank), cmp.Compare(a.LostS, b.LostS))
			})
		}
		for _, r := range tasks {
			v := &p.s.Jobs[r.Job]
			if free.Slots(j.Need) > 0 || v.Rank <= j.Rank {
				break
			}
			if p.pos[r.Job] < p.pos[ji] {
				continue // it would take the room again at once
			}
			if v.Desc.Shape == wire.Gang && v.Desc.Tasks > 1 {
				continue
			}
			free = free.Sub(v.Need, -r.Ending)
			k := 0
			for r.Ending+k < r.Count && free.Slots(j.Need) == 0 {
				free = free.Sub(v.Need, -1)
				k++
			}
			if k > 0 {
				cost += r.LostS * v.Need.Cores * float64(k) / float64(r.Count)
				rank = min(rank, v.Rank)
				st = append(st, Stop{i, r.Job, k})
			}
		}
		if free.Slots(j.Need) > 0 {
			found = append(found, victim{i, rank, cost, st})
		}
	}
	// The lowest rank first: a task of an array that is stopped holds up its
	// whole job, and among higher work that job has a deadline to lose.
	slices.SortStableFunc(found, func(a, b victim) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.cost, b.cost))
	})
	made := 0
	for _, v := range found {
		m := &p.pool[v.m]
		if made == n || ZoneRoom(j.Desc, zones, m.Zone) == 0 {
			continue
		}
		made++
		for _, st := range v.stops {
			p.plan.Stops = append(p.plan.Stops, st)
			for k, r := range m.Tasks {
				if r.Job == st.Job {
					m.Tasks = slices.Clone(m.Tasks)
					m.Tasks[k].Ending += st.Count
					m.Free = m.Free.Sub(p.s.Jobs[r.Job].Need, -st.Count)
					break
				}
			}
		}
		m.Free = m.Free.Sub(j.Need, 1)
		m.Ready = false // its room is spoken for
		zones[m.Zone]++
	}
	if like && made < n {
		p.full[sig] = true
	}
	return made
}

// rent asks for the cheapest offers that hold n tasks (P2), sized to them; what
// a rented machine has left over counts as coming room for the jobs behind.
// With in, only there: the rest of a gang is to come to where it has room.
func (p *planner) rent(ji, n int, zones map[string]int, keepOff bool, in string) {
	j := &p.s.Jobs[ji]
	d := j.Desc
	for n > 0 {
		best, bestCost, bestSlots := Offer{}, math.Inf(1), 0
		for ti := range p.s.Types {
			t := &p.s.Types[ti]
			if !TypeFits(t, d) || (keepOff && t.Total.Cards > 0) {
				continue
			}
			slots := t.Total.Slots(j.Need)
			for _, z := range t.Zones {
				k := min(n, ZoneRoom(d, zones, z))
				if k == 0 || (in != "" && z != in) {
					continue
				}
				for _, spot := range []bool{true, false} {
					o := Offer{ti, z, spot}
					if (spot && !d.Spot) || p.s.Refused[o] {
						continue
					}
					cost := t.PriceOf(spot) * math.Ceil(float64(k)/float64(slots)) / float64(k)
					if cost < bestCost-eps {
						best, bestCost, bestSlots = o, cost, slots
					}
				}
			}
		}
		if bestSlots == 0 {
			return
		}
		k := min(n, ZoneRoom(d, zones, best.Zone))
		count := (k + bestSlots - 1) / bestSlots
		for left := k; left > 0; left -= bestSlots {
			p.open = append(p.open, len(p.pool))
			p.pool = append(p.pool, Machine{Type: best.Type, Zone: best.Zone, Spot: best.Spot, Coming: true,
				Free: p.s.Types[best.Type].Total.Sub(j.Need, min(left, bestSlots))})
		}
		zones[best.Zone] += k
		n -= k
		if j.Rank == 0 {
			p.spare[best] += count
		}
		p.addRent(best, count)
	}
}

func (p *planner) addRent(o Offer, count int) {
	for i := range p.plan.Rents {
		if p.plan.Rents[i].Offer == o {
			p.plan.Rents[i].Count += count
			return
		}
	}
	p.plan.Rents = append(p.plan.Rents, Rent{o, count})
}
