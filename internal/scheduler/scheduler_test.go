package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

var zones = []string{"a", "b"}

// random makes a snapshot. With busy, machines carry tasks that could be
// stopped.
func random(rng *rand.Rand, busy bool) *Snapshot {
	s := &Snapshot{Rho: 1, GiveBack: 2, MayRent: true, MayReturn: true, GPURank: -1, Refused: map[Offer]bool{},
		Types: []Type{
			{Name: "small", Total: Res{4, 0, 16}, Price: 0.2, SpotPrice: 0.06, BootS: 30, FetchGBps: 1, Zones: zones},
			{Name: "big", Total: Res{16, 0, 64}, Price: 1, SpotPrice: 0.3, BootS: 40, FetchGBps: 1, Zones: zones},
			{Name: "card", Total: Res{32, 4, 128}, Price: 9, SpotPrice: 3, BootS: 35, FetchGBps: 1, Zones: zones[:1]},
		},
		Teams: []Team{{Max: Res{Cores: 30, GPUs: 8}}, {}},
	}
	shapes := []string{protocol.KindArray, protocol.KindArray, protocol.KindGang, protocol.KindService}
	for i := range 1 + rng.IntN(6) {
		d := &protocol.Job{ID: fmt.Sprint(i), Kind: shapes[rng.IntN(4)], Tasks: 1 + rng.IntN(9), Cores: float64(1 + rng.IntN(4)),
			MemGB: float64(1 + rng.IntN(16)), OneZone: rng.IntN(4) == 0, Spread: rng.IntN(4) == 0, Spot: rng.IntN(2) == 0,
			Image: fmt.Sprint("img", rng.IntN(2)), ImageGB: 2}
		if rng.IntN(4) == 0 {
			d.GPUs = float64(1 + rng.IntN(4))
		}
		if rng.IntN(5) == 0 {
			d.MachineTypes = []string{"big", "card"}
		}
		if rng.IntN(5) == 0 {
			d.Zone = zones[rng.IntN(2)]
		}
		j := Job{Ref: d.ID, Desc: d, Need: Need(d), Rank: rng.IntN(4), Guaranteed: rng.IntN(2) == 0, EstimateS: float64(rng.IntN(60)),
			DueS: float64(rng.IntN(400) - 100), Waiting: rng.IntN(d.Tasks + 1), Team: rng.IntN(2), ZoneLive: map[string]int{}, Resting: rng.IntN(8) == 0}
		if d.Kind == protocol.KindGang && j.Waiting > 0 {
			j.Waiting = d.Tasks
		}
		s.Jobs = append(s.Jobs, j)
		if d.GPUs > 0 {
			s.GPURank = max(s.GPURank, j.Rank)
			s.GPUNeed = Res{max(s.GPUNeed.Cores, d.Cores), max(s.GPUNeed.GPUs, d.GPUs), max(s.GPUNeed.Mem, d.MemGB)}
		}
	}
	for i := range rng.IntN(9) {
		m := Machine{ID: fmt.Sprint("m", i), Type: rng.IntN(3), Zone: zones[rng.IntN(2)], Spot: rng.IntN(3) == 0,
			IdleS: float64(rng.IntN(90)), GPUIdleS: float64(rng.IntN(90)), Images: []string{"img0", "img1"}[:rng.IntN(2)], FetchGB: float64(rng.IntN(3)) * 2.5}
		m.Free = s.Types[m.Type].Total
		m.Ready = rng.IntN(4) > 0
		m.Coming = !m.Ready && rng.IntN(2) == 0
		for ji := range s.Jobs {
			j := &s.Jobs[ji]
			if busy && m.Ready && rng.IntN(2) == 0 && m.Free.Slots(j.Need) > 0 && len(j.Desc.MachineTypes) == 0 && j.Desc.Kind != protocol.KindGang {
				m.Free = m.Free.Sub(j.Need, 1)
				m.Tasks = append(m.Tasks, Running{Job: ji, Count: 1})
				j.ZoneLive[m.Zone]++
				j.Live++
				s.Teams[j.Team].Used = s.Teams[j.Team].Used.Sub(j.Need, -1)
			}
		}
		m.Empty = len(m.Tasks) == 0
		s.Machines = append(s.Machines, m)
	}
	return s
}

// plain places one task after another, each where it costs least, by looking at
// everything anew each time.
func plain(s *Snapshot) map[string]int {
	out := map[string]int{}
	free := make([]Res, len(s.Machines))
	gpuTask := make([]bool, len(s.Machines))
	images, fetch := make([][]string, len(s.Machines)), make([]float64, len(s.Machines))
	for i := range s.Machines {
		free[i] = s.Machines[i].Free
		images[i], fetch[i] = slices.Clone(s.Machines[i].Images), s.Machines[i].FetchGB
	}
	used := slices.Clone(s.Teams)
	gpuWaits, below := false, s.GPURank
	if below < 0 {
		below = 2 // no work with GPUs is known: only the lowest rank
	}
	for _, j := range s.Jobs {
		gpuWaits = gpuWaits || (j.Need.GPUs > 0 && j.Waiting > 0 && !j.Resting)
	}
	for _, ji := range Order(s) {
		j := &s.Jobs[ji]
		d := j.Desc
		if j.Resting || j.Waiting == 0 {
			continue
		}
		team := &used[j.Team]
		limit := 0
		for u := team.Used; limit < j.Waiting; limit++ {
			u = u.Sub(j.Need, -1)
			if (team.Max.Cores > 0 && u.Cores > team.Max.Cores) || (team.Max.GPUs > 0 && u.GPUs > team.Max.GPUs) {
				break
			}
		}
		live := map[string]int{}
		for k, v := range j.ZoneLive {
			live[k] = v
		}
		whole := false // count all the room of a zone, whatever is to be placed
		attempt := func(only string, cached bool) []int {
			f, z := slices.Clone(free), map[string]int{}
			for k, v := range live {
				z[k] = v
			}
			var at []int
			for len(at) < limit || whole {
				best, bestCost := -1, 0.0
				for i, m := range s.Machines {
					t := s.Types[m.Type]
					fits := f[i].Cores >= j.Need.Cores && f[i].GPUs >= j.Need.GPUs && f[i].Mem >= j.Need.Mem
					place := (len(d.MachineTypes) == 0 || slices.Contains(d.MachineTypes, t.Name)) && (d.Zone == "" || d.Zone == m.Zone) &&
						(only == "" || only == m.Zone) && (!m.Spot || d.Spot) && (!d.Spread || z[m.Zone] < (d.Tasks+1)/2 || (whole && live[m.Zone] < (d.Tasks+1)/2))
					if t.Total.GPUs > 0 && d.GPUs == 0 && plainFits(s, d) {
						switch {
						case d.Kind == protocol.KindService:
							place = false
						case gpuTask[i]:
							r := s.GPUNeed
							if f[i].Cores >= r.Cores && f[i].GPUs >= r.GPUs && f[i].Mem >= r.Mem {
								fits = f[i].Cores-r.Cores >= j.Need.Cores && f[i].Mem-r.Mem >= j.Need.Mem
							}
						default:
							place = place && !gpuWaits && j.Rank > below && d.Kind != protocol.KindGang && m.GPUIdleS < s.giveBack(&m)
						}
					}
					if d.OneZone && z[zones[0]]+z[zones[1]] > 0 && z[m.Zone] == 0 {
						continue
					}
					if !m.Ready || !fits || !place || (cached && !slices.Contains(images[i], d.Image)) {
						continue
					}
					est := j.EstimateS
					if !slices.Contains(images[i], d.Image) {
						if fetch[i] > tuning.FetchAheadS*t.FetchGBps {
							continue
						}
						est += (d.ImageGB + fetch[i]) / t.FetchGBps
					}
					cost := t.PriceOf(m.Spot) / float64(t.Total.Slots(j.Need)) * max(est, 1)
					tie := best >= 0 && f[i].Cores < f[best].Cores
					if d.GPUs > 0 {
						tie = best >= 0 && m.GPUIdleS < s.Machines[best].GPUIdleS
					}
					if best < 0 || cost < bestCost-1e-9 || (cost < bestCost+1e-9 && tie) {
						best, bestCost = i, cost
					}
				}
				if best < 0 {
					break
				}
				f[best] = f[best].Sub(j.Need, 1)
				z[s.Machines[best].Zone]++
				at = append(at, best)
			}
			return at
		}
		// Player-facing services go where their image is, then anywhere.
		stages := []bool{false}
		if j.Rank == 0 && d.Kind == protocol.KindService {
			stages = []bool{true, false}
		}
		for _, cached := range stages {
			at := attempt("", cached)
			if d.OneZone {
				// The zone that takes the most; of equal ones that with the least
				// room, and then that of the cheapest.
				prefer := slices.Clone(zones)
				if len(at) > 0 && s.Machines[at[0]].Zone == zones[1] {
					slices.Reverse(prefer)
				}
				whole = true
				if len(attempt(prefer[1], cached)) < len(attempt(prefer[0], cached)) {
					slices.Reverse(prefer)
				}
				whole = false
				at = nil
				for _, zone := range prefer {
					if a := attempt(zone, cached); len(a) > len(at) {
						at = a
					}
				}
			}
			if d.Kind == protocol.KindGang && len(at) < j.Waiting {
				continue
			}
			limit -= len(at)
			for _, i := range at {
				if !slices.Contains(images[i], d.Image) {
					images[i] = append(images[i], d.Image)
					fetch[i] += d.ImageGB
				}
				free[i] = free[i].Sub(j.Need, 1)
				live[s.Machines[i].Zone]++
				gpuTask[i] = gpuTask[i] || d.GPUs > 0
				team.Used = team.Used.Sub(j.Need, -1)
				out[j.Ref+"@"+s.Machines[i].ID]++
			}
		}
	}
	return out
}

func plainFits(s *Snapshot, d *protocol.Job) bool {
	for _, t := range s.Types {
		if t.Total.GPUs == 0 && d.Cores <= t.Total.Cores && d.MemGB <= t.Total.Mem && (len(d.MachineTypes) == 0 || slices.Contains(d.MachineTypes, t.Name)) {
			return true
		}
	}
	return false
}

// Deciding like tasks as a class must place as many as one by one, and at the
// same cost.
func TestStartsAgainstPlainModel(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	placed := 0
	for i := range 4000 {
		s := random(rng, false)
		got := map[string]int{}
		for _, st := range Decide(s).Starts {
			got[s.Jobs[st.Job].Ref+"@"+s.Machines[st.Machine].ID] += st.Count
			placed += st.Count
		}
		if d := cmp.Diff(plain(s), got); d != "" {
			t.Fatalf("snapshot %d: %s", i, d)
		}
	}
	if placed < 4000 {
		t.Errorf("only %d tasks were placed: the snapshots test too little", placed)
	}
}

// Whatever the snapshot, a plan keeps the rules on places, room and quota, only
// stops what ranks lower, and only returns what is empty.
func TestPlanKeepsRules(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	stops, rents := 0, 0
	for i := range 4000 {
		s := random(rng, true)
		p := Decide(s)
		free := make([]Res, len(s.Machines))
		for k := range s.Machines {
			free[k] = s.Machines[k].Free
		}
		used := slices.Clone(s.Teams)
		started := map[int]int{}
		touched := map[int]bool{}
		zone := map[int]map[string]int{}
		for _, st := range p.Starts {
			j, m := &s.Jobs[st.Job], &s.Machines[st.Machine]
			if zone[st.Job] == nil {
				zone[st.Job] = map[string]int{}
				for z, n := range j.ZoneLive {
					zone[st.Job][z] = n
				}
			}
			zone[st.Job][m.Zone] += st.Count
			free[st.Machine] = free[st.Machine].Sub(j.Need, st.Count)
			used[j.Team].Used = used[j.Team].Used.Sub(j.Need, -st.Count)
			started[st.Job] += st.Count
			touched[st.Machine] = true
			d := j.Desc
			if !m.Ready || (m.Spot && !d.Spot) || (d.Zone != "" && d.Zone != m.Zone) || (d.MachineTypes != nil && !slices.Contains(d.MachineTypes, s.Types[m.Type].Name)) {
				t.Fatalf("snapshot %d: job %d on machine %d", i, st.Job, st.Machine)
			}
		}
		for ji, n := range started {
			d := s.Jobs[ji].Desc
			if n > s.Jobs[ji].Waiting || (d.Kind == protocol.KindGang && n < s.Jobs[ji].Waiting) || s.Jobs[ji].Resting {
				t.Fatalf("snapshot %d: job %d starts %d", i, ji, n)
			}
			for z, n := range zone[ji] {
				if (d.Spread && n > (d.Tasks+1)/2 && n > s.Jobs[ji].ZoneLive[z]) || (d.OneZone && len(zone[ji]) > 1 && len(s.Jobs[ji].ZoneLive) < 2) {
					t.Fatalf("snapshot %d: job %d in zones %v", i, ji, zone[ji])
				}
			}
		}
		for k, f := range free {
			if f.Cores < -eps || f.GPUs < -eps || f.Mem < -eps {
				t.Fatalf("snapshot %d: machine %d is overfull: %+v", i, k, f)
			}
		}
		for k, u := range used {
			if u.Max.Cores > 0 && u.Used.Cores > max(u.Max.Cores, s.Teams[k].Used.Cores)+eps || u.Max.GPUs > 0 && u.Used.GPUs > max(u.Max.GPUs, s.Teams[k].Used.GPUs)+eps {
				t.Fatalf("snapshot %d: team %d uses %+v", i, k, u)
			}
		}
		for _, st := range p.Stops {
			stops++
			below := false
			for ji := range s.Jobs {
				below = below || (s.Jobs[ji].Waiting > 0 && s.Jobs[ji].Rank < s.Jobs[st.Job].Rank)
			}
			if !below {
				t.Fatalf("snapshot %d: job %d is stopped for nothing above it", i, st.Job)
			}
		}
		for _, r := range p.Rents {
			rents++
			if r.Count < 1 || !slices.Contains(s.Types[r.Type].Zones, r.Zone) {
				t.Fatalf("snapshot %d: rents %+v", i, r)
			}
		}
		for _, k := range p.Returns {
			if !s.Machines[k].Empty || touched[k] {
				t.Fatalf("snapshot %d: returns machine %d in use", i, k)
			}
		}
	}
	if stops == 0 || rents == 0 {
		t.Errorf("%d stops and %d rents: the snapshots test too little", stops, rents)
	}
}

// A task whose machine's zone is not known, as after a takeover, may be in any
// zone. (On the users' bench, spread services were put together after one.)
func TestUnknownZoneCounts(t *testing.T) {
	d := &protocol.Job{Tasks: 4, Spread: true}
	if n := ZoneRoom(d, map[string]int{"a": 1, "": 1}, "a"); n != 0 {
		t.Errorf("room for %d more where two may be already", n)
	}
	if n := ZoneRoom(&protocol.Job{Tasks: 4, OneZone: true}, map[string]int{"": 1}, "a"); n != 0 {
		t.Errorf("room for %d in one zone while another may be in use", n)
	}
}

// A gang that has waited too long gets the machines that fall free kept for it,
// also against smaller gangs that would be served before it; once all are there
// it starts. Without the guard the small ones take every machine for ever.
func TestOverdueGangGathers(t *testing.T) {
	need := Res{4, 4, 8}
	s := &Snapshot{Rho: 1, GiveBack: 4, StarvationShare: 0.5, GPURank: 2, GPUNeed: need, Refused: map[Offer]bool{},
		Types: []Type{{Name: "card", Total: Res{8, 4, 16}, Price: 9, BootS: 35, FetchGBps: 1, Zones: zones}}, Teams: []Team{{}}}
	add := func(ref string, tasks int, overdue float64) {
		d := &protocol.Job{ID: ref, Kind: protocol.KindGang, Tasks: tasks, Cores: 4, GPUs: 4, MemGB: 8, OneZone: true, Priority: protocol.PriorityStandard}
		s.Jobs = append(s.Jobs, Job{Ref: ref, Desc: d, Need: Need(d), Rank: 2, EstimateS: 60, DueS: 100 - overdue, Waiting: tasks, OverdueS: overdue, Counts: 1})
	}
	add("big", 4, 5)
	for i := range 8 {
		add(fmt.Sprint("small", i), 1, 0)
	}
	for i := range 6 {
		s.Machines = append(s.Machines, Machine{ID: fmt.Sprint("m", i), Zone: "a", Free: s.Types[0].Total})
	}
	started := false
	for round := 0; round < 6; round++ { // one machine falls free after another
		s.Machines[round].Ready = true
		for _, st := range Decide(s).Starts {
			if st.Job == 0 {
				started = started || round >= 3
			} else if !started {
				t.Fatalf("round %d: %s takes a machine that the overdue gang waits for", round, s.Jobs[st.Job].Ref)
			}
		}
		if started {
			break
		}
	}
	if !started {
		t.Error("the overdue gang did not start")
	}
	s.Jobs[0].OverdueS = 0 // the same gang, not overdue, goes behind
	s.Machines[5].Ready, s.Jobs[0].DueS = false, -1
	if p := Decide(s); len(p.Starts) == 0 || p.Starts[0].Job == 0 {
		t.Errorf("starts %v", p.Starts)
	}
}

// A gang for which a part of the room is there gets the rest rented. (The chaos
// test found one waiting for ever: the machine that was free for a part of it
// was taken for all it needed. So would be machines in different zones.)
func TestGangRentsTheRest(t *testing.T) {
	d := &protocol.Job{ID: "g", Kind: protocol.KindGang, Tasks: 3, Cores: 4, GPUs: 2, MemGB: 8, OneZone: true, Spot: true}
	s := &Snapshot{Rho: 1, MayRent: true, Refused: map[Offer]bool{}, Teams: []Team{{}},
		Types: []Type{{Name: "card", Total: Res{8, 4, 16}, Price: 9, SpotPrice: 3, BootS: 35, FetchGBps: 1, Zones: zones}},
		Jobs:  []Job{{Ref: "g", Desc: d, Need: Need(d), Rank: 1, EstimateS: 60, DueS: -10, Waiting: 3}}}
	for _, z := range zones {
		s.Machines = append(s.Machines, Machine{Zone: z, Ready: true, Free: s.Types[0].Total})
	}
	if r := Decide(s).Rents; len(r) != 1 || r[0].Count != 1 {
		t.Errorf("rents %+v, not one more machine", r)
	}
}

// Over random loads that the machines can carry, every job begins within four
// minutes, the largest of its kind too: a gang in one zone on machines that small
// ones keep taking, and an array of hundreds among small ones; and each of the
// teams gets as much as the others.
func TestLargestBegin(t *testing.T) {
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 9))
		s := &Snapshot{Rho: 1, GiveBack: 4, StarvationShare: 0.5, GPURank: 2, GPUNeed: Res{4, 4, 8}, Refused: map[Offer]bool{},
			Types: []Type{
				{Name: "card", Total: Res{8, 4, 16}, Price: 9, BootS: 35, FetchGBps: 1, Zones: zones},
				{Name: "cpu", Total: Res{16, 0, 64}, Price: 1, BootS: 35, FetchGBps: 1, Zones: zones},
			}, Teams: make([]Team, 10)}
		for i := range 120 {
			m := Machine{ID: fmt.Sprint("m", i), Type: i % 2, Zone: zones[i/2%2], Ready: true}
			m.Free = s.Types[m.Type].Total
			s.Machines = append(s.Machines, m)
		}
		type run struct{ job, machine, n, ends int }
		type state struct {
			at, begun, left int
			lasts           int
		}
		var runs []run
		var jobs []state
		waits := make([][]int, 10)
		for now := 0; now < 1200; now++ {
			for _, r := range runs {
				if r.ends == now {
					j, m := &s.Jobs[r.job], &s.Machines[r.machine]
					m.Free = m.Free.Sub(j.Need, -r.n)
					for k, x := range m.Tasks {
						if x.Job == r.job {
							if m.Tasks[k].Count -= r.n; m.Tasks[k].Count == 0 {
								m.Tasks = slices.Delete(slices.Clone(m.Tasks), k, k+1)
							}
							break
						}
					}
					j.Live -= r.n
					s.Teams[j.Team].Used = s.Teams[j.Team].Used.Sub(j.Need, r.n)
				}
			}
			runs = slices.DeleteFunc(runs, func(r run) bool { return r.ends == now })
			for range 2 {
				d := &protocol.Job{ID: fmt.Sprint(len(s.Jobs)), MemGB: 8, Spot: true}
				switch {
				case rng.Float64() < 0.10: // a gang; of the tasks, half are in the largest
					d.Kind, d.Tasks, d.Cores, d.GPUs, d.OneZone = protocol.KindGang, []int{1, 1, 1, 1, 2, 2, 2, 4, 4, 16}[rng.IntN(10)], 4, 4, true
				case rng.Float64() < 0.018:
					d.Kind, d.Tasks, d.Cores = protocol.KindArray, []int{10, 20, 30, 40, 300}[rng.IntN(5)], 4
				default:
					continue
				}
				j := Job{Ref: d.ID, Desc: d, Need: Need(d), Rank: 2, EstimateS: 60, Waiting: d.Tasks, Counts: 1, Team: rng.IntN(10)}
				s.Jobs = append(s.Jobs, j)
				jobs = append(jobs, state{at: now, begun: -1, left: d.Tasks, lasts: 30 + rng.IntN(60)})
			}
			for i := range s.Jobs {
				j := &s.Jobs[i]
				age := float64(now - jobs[i].at)
				j.DueS = 180 - age
				j.OverdueS = 0
				if j.Waiting > 0 {
					j.OverdueS = max(0, age-60)
				}
			}
			for _, st := range Decide(s).Starts {
				j, m := &s.Jobs[st.Job], &s.Machines[st.Machine]
				m.Free = m.Free.Sub(j.Need, st.Count)
				m.Tasks = append(slices.Clone(m.Tasks), Running{Job: st.Job, Count: st.Count, LeftS: 60})
				j.Waiting -= st.Count
				j.Live += st.Count
				s.Teams[j.Team].Used = s.Teams[j.Team].Used.Sub(j.Need, -st.Count)
				runs = append(runs, run{st.Job, st.Machine, st.Count, now + jobs[st.Job].lasts})
				if j.Waiting == 0 {
					jobs[st.Job].begun = now
					waits[j.Team] = append(waits[j.Team], now-jobs[st.Job].at)
				}
			}
		}
		for i, j := range jobs {
			if j.begun < 0 && j.at < 960 || j.begun-j.at > 240 {
				t.Errorf("seed %d: job %d of %d tasks (%s, team %d), there at %d s, has all begun at %d s", seed, i, s.Jobs[i].Desc.Tasks, s.Jobs[i].Desc.Kind, s.Jobs[i].Team, j.at, j.begun)
			}
		}
		for team, w := range waits {
			slices.Sort(w)
			if len(w) > 0 && w[len(w)/2] > 60 {
				t.Errorf("seed %d: half of the jobs of team %d wait over %d s", seed, team, w[len(w)/2])
			}
		}
	}
}

// Room for production is made where the lowest work runs, even if less time
// would be lost elsewhere.
func TestLowestIsStoppedFirst(t *testing.T) {
	s := &Snapshot{Rho: 1, GPURank: -1, Refused: map[Offer]bool{}, Teams: []Team{{}},
		Types: []Type{{Name: "small", Total: Res{4, 0, 16}, Price: 1, BootS: 30, FetchGBps: 1, Zones: zones}}}
	for i, rank := range []int{0, 2, 3} {
		d := &protocol.Job{ID: fmt.Sprint(i), Kind: protocol.KindArray, Tasks: 1, Cores: 4, MemGB: 4}
		j := Job{Ref: d.ID, Desc: d, Need: Need(d), Rank: rank, EstimateS: 60, DueS: 100}
		if rank == 0 {
			d.Kind, j.Waiting = protocol.KindService, 1
		} else {
			j.Live = 1
			s.Machines = append(s.Machines, Machine{ID: d.ID, Zone: "a", Ready: true, Free: Res{0, 0, 12},
				Tasks: []Running{{Job: i, Count: 1, LostS: float64(rank*10 - 15)}}})
		}
		s.Jobs = append(s.Jobs, j)
	}
	if st := Decide(s).Stops; len(st) != 1 || st[0].Job != 2 {
		t.Errorf("stops %+v", st)
	}
}

// That one job found no room on a machine busy fetching says nothing of a like
// job whose image is there.
func TestFullIsByImage(t *testing.T) {
	s := &Snapshot{Rho: 1, GPURank: -1, Refused: map[Offer]bool{}, Teams: []Team{{}},
		Types:    []Type{{Name: "small", Total: Res{4, 0, 16}, Price: 1, BootS: 30, FetchGBps: 1, Zones: zones}},
		Machines: []Machine{{Zone: "a", Ready: true, Free: Res{4, 0, 16}, Images: []string{"there"}, FetchGB: 2 * tuning.FetchAheadS}}}
	for i, image := range []string{"elsewhere", "there"} {
		d := &protocol.Job{ID: fmt.Sprint(i), Kind: protocol.KindArray, Tasks: 1, Cores: 1, MemGB: 1, Image: image, ImageGB: 2}
		s.Jobs = append(s.Jobs, Job{Ref: d.ID, Desc: d, Need: Need(d), Rank: 2, EstimateS: 60, DueS: 500 + float64(i), Waiting: 1})
	}
	if st := Decide(s).Starts; len(st) != 1 || st[0].Job != 1 {
		t.Errorf("starts %+v", st)
	}
}
