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
	s := &Snapshot{Rho: 1, IdleBootFactor: 2, MayScaleOut: true, MayScaleIn: true, GPUPriority: -1, ExhaustedPools: map[CapacityPool]bool{},
		Types: []MachineType{
			{Name: "small", Capacity: Resources{4, 0, 16}, Price: 0.2, SpotPrice: 0.06, BootS: 30, FetchGBps: 1, Zones: zones},
			{Name: "big", Capacity: Resources{16, 0, 64}, Price: 1, SpotPrice: 0.3, BootS: 40, FetchGBps: 1, Zones: zones},
			{Name: "card", Capacity: Resources{32, 4, 128}, Price: 9, SpotPrice: 3, BootS: 35, FetchGBps: 1, Zones: zones[:1]},
		},
		Teams: []Team{{Max: Resources{Cores: 30, GPUs: 8}}, {}},
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
		j := Job{ID: d.ID, Spec: d, Request: RequestOf(d), Priority: rng.IntN(4), Guaranteed: rng.IntN(2) == 0, EstimateS: float64(rng.IntN(60)),
			DeadlineS: float64(rng.IntN(400) - 100), Waiting: rng.IntN(d.Tasks + 1), Team: rng.IntN(2), RunningByZone: map[string]int{}, BackingOff: rng.IntN(8) == 0}
		if d.Kind == protocol.KindGang && j.Waiting > 0 {
			j.Waiting = d.Tasks
		}
		s.Jobs = append(s.Jobs, j)
		if d.GPUs > 0 {
			s.GPUPriority = max(s.GPUPriority, j.Priority)
			s.GPURequest = Resources{max(s.GPURequest.Cores, d.Cores), max(s.GPURequest.GPUs, d.GPUs), max(s.GPURequest.MemGB, d.MemGB)}
		}
	}
	for i := range rng.IntN(9) {
		m := Machine{ID: fmt.Sprint("m", i), Type: rng.IntN(3), Zone: zones[rng.IntN(2)], Spot: rng.IntN(3) == 0,
			IdleS: float64(rng.IntN(90)), GPUIdleS: float64(rng.IntN(90)), Images: []string{"img0", "img1"}[:rng.IntN(2)], PendingFetchGB: float64(rng.IntN(3)) * 2.5}
		m.Free = s.Types[m.Type].Capacity
		m.Schedulable = rng.IntN(4) > 0
		m.Booting = !m.Schedulable && rng.IntN(2) == 0
		for ji := range s.Jobs {
			j := &s.Jobs[ji]
			if busy && m.Schedulable && rng.IntN(2) == 0 && m.Free.CapacityFor(j.Request) > 0 && len(j.Spec.MachineTypes) == 0 && j.Spec.Kind != protocol.KindGang {
				m.Free = m.Free.Minus(j.Request, 1)
				m.Tasks = append(m.Tasks, RunningTasks{Job: ji, Count: 1})
				j.RunningByZone[m.Zone]++
				j.Running++
				s.Teams[j.Team].Used = s.Teams[j.Team].Used.Minus(j.Request, -1)
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
	free := make([]Resources, len(s.Machines))
	gpuTask := make([]bool, len(s.Machines))
	images, fetch := make([][]string, len(s.Machines)), make([]float64, len(s.Machines))
	for i := range s.Machines {
		free[i] = s.Machines[i].Free
		images[i], fetch[i] = slices.Clone(s.Machines[i].Images), s.Machines[i].PendingFetchGB
	}
	used := slices.Clone(s.Teams)
	gpuWaits, below := false, s.GPUPriority
	if below < 0 {
		below = 2 // no work with GPUs is known: only the lowest rank
	}
	for _, j := range s.Jobs {
		gpuWaits = gpuWaits || (j.Request.GPUs > 0 && j.Waiting > 0 && !j.BackingOff)
	}
	for _, ji := range Order(s) {
		j := &s.Jobs[ji]
		d := j.Spec
		if j.BackingOff || j.Waiting == 0 {
			continue
		}
		team := &used[j.Team]
		limit := 0
		for u := team.Used; limit < j.Waiting; limit++ {
			u = u.Minus(j.Request, -1)
			if (team.Max.Cores > 0 && u.Cores > team.Max.Cores) || (team.Max.GPUs > 0 && u.GPUs > team.Max.GPUs) {
				break
			}
		}
		live := map[string]int{}
		for k, v := range j.RunningByZone {
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
					fits := f[i].Cores >= j.Request.Cores && f[i].GPUs >= j.Request.GPUs && f[i].MemGB >= j.Request.MemGB
					place := (len(d.MachineTypes) == 0 || slices.Contains(d.MachineTypes, t.Name)) && (d.Zone == "" || d.Zone == m.Zone) &&
						(only == "" || only == m.Zone) && (!m.Spot || d.Spot) && (!d.Spread || z[m.Zone] < (d.Tasks+1)/2 || (whole && live[m.Zone] < (d.Tasks+1)/2))
					if t.Capacity.GPUs > 0 && d.GPUs == 0 && plainFits(s, d) {
						switch {
						case d.Kind == protocol.KindService:
							place = false
						case gpuTask[i]:
							r := s.GPURequest
							if f[i].Cores >= r.Cores && f[i].GPUs >= r.GPUs && f[i].MemGB >= r.MemGB {
								fits = f[i].Cores-r.Cores >= j.Request.Cores && f[i].MemGB-r.MemGB >= j.Request.MemGB
							}
						default:
							place = place && !gpuWaits && j.Priority > below && d.Kind != protocol.KindGang && m.GPUIdleS < s.idleTimeout(&m)
						}
					}
					if d.OneZone && z[zones[0]]+z[zones[1]] > 0 && z[m.Zone] == 0 {
						continue
					}
					if !m.Schedulable || !fits || !place || (cached && !slices.Contains(images[i], d.Image)) {
						continue
					}
					est := j.EstimateS
					if !slices.Contains(images[i], d.Image) {
						if fetch[i] > tuning.FetchAheadS*t.FetchGBps {
							continue
						}
						est += (d.ImageGB + fetch[i]) / t.FetchGBps
					}
					cost := t.HourlyPrice(m.Spot) / float64(t.Capacity.CapacityFor(j.Request)) * max(est, 1)
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
				f[best] = f[best].Minus(j.Request, 1)
				z[s.Machines[best].Zone]++
				at = append(at, best)
			}
			return at
		}
		// Player-facing services go where their image is, then anywhere.
		stages := []bool{false}
		if j.Priority == 0 && d.Kind == protocol.KindService {
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
				free[i] = free[i].Minus(j.Request, 1)
				live[s.Machines[i].Zone]++
				gpuTask[i] = gpuTask[i] || d.GPUs > 0
				team.Used = team.Used.Minus(j.Request, -1)
				out[j.ID+"@"+s.Machines[i].ID]++
			}
		}
	}
	return out
}

func plainFits(s *Snapshot, d *protocol.Job) bool {
	for _, t := range s.Types {
		if t.Capacity.GPUs == 0 && d.Cores <= t.Capacity.Cores && d.MemGB <= t.Capacity.MemGB && (len(d.MachineTypes) == 0 || slices.Contains(d.MachineTypes, t.Name)) {
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
			got[s.Jobs[st.Job].ID+"@"+s.Machines[st.Machine].ID] += st.Count
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
		free := make([]Resources, len(s.Machines))
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
				for z, n := range j.RunningByZone {
					zone[st.Job][z] = n
				}
			}
			zone[st.Job][m.Zone] += st.Count
			free[st.Machine] = free[st.Machine].Minus(j.Request, st.Count)
			used[j.Team].Used = used[j.Team].Used.Minus(j.Request, -st.Count)
			started[st.Job] += st.Count
			touched[st.Machine] = true
			d := j.Spec
			if !m.Schedulable || (m.Spot && !d.Spot) || (d.Zone != "" && d.Zone != m.Zone) || (d.MachineTypes != nil && !slices.Contains(d.MachineTypes, s.Types[m.Type].Name)) {
				t.Fatalf("snapshot %d: job %d on machine %d", i, st.Job, st.Machine)
			}
		}
		for ji, n := range started {
			d := s.Jobs[ji].Spec
			if n > s.Jobs[ji].Waiting || (d.Kind == protocol.KindGang && n < s.Jobs[ji].Waiting) || s.Jobs[ji].BackingOff {
				t.Fatalf("snapshot %d: job %d starts %d", i, ji, n)
			}
			for z, n := range zone[ji] {
				if (d.Spread && n > (d.Tasks+1)/2 && n > s.Jobs[ji].RunningByZone[z]) || (d.OneZone && len(zone[ji]) > 1 && len(s.Jobs[ji].RunningByZone) < 2) {
					t.Fatalf("snapshot %d: job %d in zones %v", i, ji, zone[ji])
				}
			}
		}
		for k, f := range free {
			if f.Cores < -eps || f.GPUs < -eps || f.MemGB < -eps {
				t.Fatalf("snapshot %d: machine %d is overfull: %+v", i, k, f)
			}
		}
		for k, u := range used {
			if u.Max.Cores > 0 && u.Used.Cores > max(u.Max.Cores, s.Teams[k].Used.Cores)+eps || u.Max.GPUs > 0 && u.Used.GPUs > max(u.Max.GPUs, s.Teams[k].Used.GPUs)+eps {
				t.Fatalf("snapshot %d: team %d uses %+v", i, k, u)
			}
		}
		for _, st := range p.Preemptions {
			stops++
			below := false
			for ji := range s.Jobs {
				below = below || (s.Jobs[ji].Waiting > 0 && s.Jobs[ji].Priority < s.Jobs[st.Job].Priority)
			}
			if !below {
				t.Fatalf("snapshot %d: job %d is stopped for nothing above it", i, st.Job)
			}
		}
		for _, r := range p.ScaleOuts {
			rents++
			if r.Count < 1 || !slices.Contains(s.Types[r.Type].Zones, r.Zone) {
				t.Fatalf("snapshot %d: rents %+v", i, r)
			}
		}
		for _, k := range p.ScaleIns {
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
	if n := ZoneCapacity(d, map[string]int{"a": 1, "": 1}, "a"); n != 0 {
		t.Errorf("room for %d more where two may be already", n)
	}
	if n := ZoneCapacity(&protocol.Job{Tasks: 4, OneZone: true}, map[string]int{"": 1}, "a"); n != 0 {
		t.Errorf("room for %d in one zone while another may be in use", n)
	}
}

// A gang that has waited too long gets the machines that fall free kept for it,
// also against smaller gangs that would be served before it; once all are there
// it starts. Without the guard the small ones take every machine for ever.
func TestOverdueGangGathers(t *testing.T) {
	need := Resources{4, 4, 8}
	s := &Snapshot{Rho: 1, IdleBootFactor: 4, StarvationShare: 0.5, GPUPriority: 2, GPURequest: need, ExhaustedPools: map[CapacityPool]bool{},
		Types: []MachineType{{Name: "card", Capacity: Resources{8, 4, 16}, Price: 9, BootS: 35, FetchGBps: 1, Zones: zones}}, Teams: []Team{{}}}
	add := func(ref string, tasks int, overdue float64) {
		d := &protocol.Job{ID: ref, Kind: protocol.KindGang, Tasks: tasks, Cores: 4, GPUs: 4, MemGB: 8, OneZone: true, Priority: protocol.PriorityStandard}
		s.Jobs = append(s.Jobs, Job{ID: ref, Spec: d, Request: RequestOf(d), Priority: 2, EstimateS: 60, DeadlineS: 100 - overdue, Waiting: tasks, StarvedS: overdue, Weight: 1})
	}
	add("big", 4, 5)
	for i := range 8 {
		add(fmt.Sprint("small", i), 1, 0)
	}
	for i := range 6 {
		s.Machines = append(s.Machines, Machine{ID: fmt.Sprint("m", i), Zone: "a", Free: s.Types[0].Capacity})
	}
	started := false
	for round := 0; round < 6; round++ { // one machine falls free after another
		s.Machines[round].Schedulable = true
		for _, st := range Decide(s).Starts {
			if st.Job == 0 {
				started = started || round >= 3
			} else if !started {
				t.Fatalf("round %d: %s takes a machine that the overdue gang waits for", round, s.Jobs[st.Job].ID)
			}
		}
		if started {
			break
		}
	}
	if !started {
		t.Error("the overdue gang did not start")
	}
	s.Jobs[0].StarvedS = 0 // the same gang, not overdue, goes behind
	s.Machines[5].Schedulable, s.Jobs[0].DeadlineS = false, -1
	if p := Decide(s); len(p.Starts) == 0 || p.Starts[0].Job == 0 {
		t.Errorf("starts %v", p.Starts)
	}
}

// A gang for which a part of the room is there gets the rest rented. (The chaos
// test found one waiting for ever: the machine that was free for a part of it
// was taken for all it needed. So would be machines in different zones.)
func TestGangRentsTheRest(t *testing.T) {
	d := &protocol.Job{ID: "g", Kind: protocol.KindGang, Tasks: 3, Cores: 4, GPUs: 2, MemGB: 8, OneZone: true, Spot: true}
	s := &Snapshot{Rho: 1, MayScaleOut: true, ExhaustedPools: map[CapacityPool]bool{}, Teams: []Team{{}},
		Types: []MachineType{{Name: "card", Capacity: Resources{8, 4, 16}, Price: 9, SpotPrice: 3, BootS: 35, FetchGBps: 1, Zones: zones}},
		Jobs:  []Job{{ID: "g", Spec: d, Request: RequestOf(d), Priority: 1, EstimateS: 60, DeadlineS: -10, Waiting: 3}}}
	for _, z := range zones {
		s.Machines = append(s.Machines, Machine{Zone: z, Schedulable: true, Free: s.Types[0].Capacity})
	}
	if r := Decide(s).ScaleOuts; len(r) != 1 || r[0].Count != 1 {
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
		s := &Snapshot{Rho: 1, IdleBootFactor: 4, StarvationShare: 0.5, GPUPriority: 2, GPURequest: Resources{4, 4, 8}, ExhaustedPools: map[CapacityPool]bool{},
			Types: []MachineType{
				{Name: "card", Capacity: Resources{8, 4, 16}, Price: 9, BootS: 35, FetchGBps: 1, Zones: zones},
				{Name: "cpu", Capacity: Resources{16, 0, 64}, Price: 1, BootS: 35, FetchGBps: 1, Zones: zones},
			}, Teams: make([]Team, 10)}
		for i := range 120 {
			m := Machine{ID: fmt.Sprint("m", i), Type: i % 2, Zone: zones[i/2%2], Schedulable: true}
			m.Free = s.Types[m.Type].Capacity
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
					m.Free = m.Free.Minus(j.Request, -r.n)
					for k, x := range m.Tasks {
						if x.Job == r.job {
							if m.Tasks[k].Count -= r.n; m.Tasks[k].Count == 0 {
								m.Tasks = slices.Delete(slices.Clone(m.Tasks), k, k+1)
							}
							break
						}
					}
					j.Running -= r.n
					s.Teams[j.Team].Used = s.Teams[j.Team].Used.Minus(j.Request, r.n)
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
				j := Job{ID: d.ID, Spec: d, Request: RequestOf(d), Priority: 2, EstimateS: 60, Waiting: d.Tasks, Weight: 1, Team: rng.IntN(10)}
				s.Jobs = append(s.Jobs, j)
				jobs = append(jobs, state{at: now, begun: -1, left: d.Tasks, lasts: 30 + rng.IntN(60)})
			}
			for i := range s.Jobs {
				j := &s.Jobs[i]
				age := float64(now - jobs[i].at)
				j.DeadlineS = 180 - age
				j.StarvedS = 0
				if j.Waiting > 0 {
					j.StarvedS = max(0, age-60)
				}
			}
			for _, st := range Decide(s).Starts {
				j, m := &s.Jobs[st.Job], &s.Machines[st.Machine]
				m.Free = m.Free.Minus(j.Request, st.Count)
				m.Tasks = append(slices.Clone(m.Tasks), RunningTasks{Job: st.Job, Count: st.Count, RemainingS: 60})
				j.Waiting -= st.Count
				j.Running += st.Count
				s.Teams[j.Team].Used = s.Teams[j.Team].Used.Minus(j.Request, -st.Count)
				runs = append(runs, run{st.Job, st.Machine, st.Count, now + jobs[st.Job].lasts})
				if j.Waiting == 0 {
					jobs[st.Job].begun = now
					waits[j.Team] = append(waits[j.Team], now-jobs[st.Job].at)
				}
			}
		}
		for i, j := range jobs {
			if j.begun < 0 && j.at < 960 || j.begun-j.at > 240 {
				t.Errorf("seed %d: job %d of %d tasks (%s, team %d), there at %d s, has all begun at %d s", seed, i, s.Jobs[i].Spec.Tasks, s.Jobs[i].Spec.Kind, s.Jobs[i].Team, j.at, j.begun)
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
	s := &Snapshot{Rho: 1, GPUPriority: -1, ExhaustedPools: map[CapacityPool]bool{}, Teams: []Team{{}},
		Types: []MachineType{{Name: "small", Capacity: Resources{4, 0, 16}, Price: 1, BootS: 30, FetchGBps: 1, Zones: zones}}}
	for i, rank := range []int{0, 2, 3} {
		d := &protocol.Job{ID: fmt.Sprint(i), Kind: protocol.KindArray, Tasks: 1, Cores: 4, MemGB: 4}
		j := Job{ID: d.ID, Spec: d, Request: RequestOf(d), Priority: rank, EstimateS: 60, DeadlineS: 100}
		if rank == 0 {
			d.Kind, j.Waiting = protocol.KindService, 1
		} else {
			j.Running = 1
			s.Machines = append(s.Machines, Machine{ID: d.ID, Zone: "a", Schedulable: true, Free: Resources{0, 0, 12},
				Tasks: []RunningTasks{{Job: i, Count: 1, LostWorkS: float64(rank*10 - 15)}}})
		}
		s.Jobs = append(s.Jobs, j)
	}
	if st := Decide(s).Preemptions; len(st) != 1 || st[0].Job != 2 {
		t.Errorf("stops %+v", st)
	}
}

// That one job found no room on a machine busy fetching says nothing of a like
// job whose image is there.
func TestFullIsByImage(t *testing.T) {
	s := &Snapshot{Rho: 1, GPUPriority: -1, ExhaustedPools: map[CapacityPool]bool{}, Teams: []Team{{}},
		Types:    []MachineType{{Name: "small", Capacity: Resources{4, 0, 16}, Price: 1, BootS: 30, FetchGBps: 1, Zones: zones}},
		Machines: []Machine{{Zone: "a", Schedulable: true, Free: Resources{4, 0, 16}, Images: []string{"there"}, PendingFetchGB: 2 * tuning.FetchAheadS}}}
	for i, image := range []string{"elsewhere", "there"} {
		d := &protocol.Job{ID: fmt.Sprint(i), Kind: protocol.KindArray, Tasks: 1, Cores: 1, MemGB: 1, Image: image, ImageGB: 2}
		s.Jobs = append(s.Jobs, Job{ID: d.ID, Spec: d, Request: RequestOf(d), Priority: 2, EstimateS: 60, DeadlineS: 500 + float64(i), Waiting: 1})
	}
	if st := Decide(s).Starts; len(st) != 1 || st[0].Job != 1 {
		t.Errorf("starts %+v", st)
	}
}
