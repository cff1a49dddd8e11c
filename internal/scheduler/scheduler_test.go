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
	snapshot := &Snapshot{Rho: 1, IdleBootFactor: 2, MayScaleOut: true, MayScaleIn: true, GPUPriority: -1, ExhaustedPools: map[CapacityPool]bool{},
		Types: []MachineType{
			{Name: "small", Capacity: Resources{4, 0, 16}, Price: 0.2, SpotPrice: 0.06, BootS: 30, FetchGBps: 1, Zones: zones},
			{Name: "big", Capacity: Resources{16, 0, 64}, Price: 1, SpotPrice: 0.3, BootS: 40, FetchGBps: 1, Zones: zones},
			{Name: "card", Capacity: Resources{32, 4, 128}, Price: 9, SpotPrice: 3, BootS: 35, FetchGBps: 1, Zones: zones[:1]},
		},
		Teams: []Team{{Max: Resources{Cores: 30, GPUs: 8}}, {}},
	}
	kinds := []protocol.JobKind{protocol.KindArray, protocol.KindArray, protocol.KindGang, protocol.KindService}
	for i := range 1 + rng.IntN(6) {
		spec := &protocol.Job{ID: protocol.JobID(fmt.Sprint(i)), Kind: kinds[rng.IntN(4)], Tasks: 1 + rng.IntN(9), Cores: float64(1 + rng.IntN(4)),
			MemGB: float64(1 + rng.IntN(16)), OneZone: rng.IntN(4) == 0, Spread: rng.IntN(4) == 0, Spot: rng.IntN(2) == 0,
			Image: fmt.Sprint("img", rng.IntN(2)), ImageGB: 2}
		if rng.IntN(4) == 0 {
			spec.GPUs = float64(1 + rng.IntN(4))
		}
		if rng.IntN(5) == 0 {
			spec.MachineTypes = []string{"big", "card"}
		}
		if rng.IntN(5) == 0 {
			spec.Zone = zones[rng.IntN(2)]
		}
		j := Job{ID: spec.ID, Spec: spec, Request: RequestOf(spec), Priority: protocol.PriorityLevel(rng.IntN(4)), Guaranteed: rng.IntN(2) == 0, EstimateS: float64(rng.IntN(60)),
			DeadlineS: float64(rng.IntN(400) - 100), Waiting: rng.IntN(spec.Tasks + 1), Team: rng.IntN(2), RunningByZone: map[string]int{}, BackingOff: rng.IntN(8) == 0}
		if spec.Kind == protocol.KindGang && j.Waiting > 0 {
			j.Waiting = spec.Tasks
		}
		snapshot.Jobs = append(snapshot.Jobs, j)
		if spec.GPUs > 0 {
			snapshot.GPUPriority = max(snapshot.GPUPriority, j.Priority)
			snapshot.GPURequest = Resources{max(snapshot.GPURequest.Cores, spec.Cores), max(snapshot.GPURequest.GPUs, spec.GPUs), max(snapshot.GPURequest.MemGB, spec.MemGB)}
		}
	}
	for i := range rng.IntN(9) {
		m := Machine{ID: fmt.Sprint("m", i), Type: rng.IntN(3), Zone: zones[rng.IntN(2)], Spot: rng.IntN(3) == 0,
			IdleS: float64(rng.IntN(90)), GPUIdleS: float64(rng.IntN(90)), Images: []string{"img0", "img1"}[:rng.IntN(2)], PendingFetchGB: float64(rng.IntN(3)) * 2.5}
		m.Free = snapshot.Types[m.Type].Capacity
		m.Schedulable = rng.IntN(4) > 0
		m.Booting = !m.Schedulable && rng.IntN(2) == 0
		for jobIndex := range snapshot.Jobs {
			job := &snapshot.Jobs[jobIndex]
			if busy && m.Schedulable && rng.IntN(2) == 0 && m.Free.CapacityFor(job.Request) > 0 && len(job.Spec.MachineTypes) == 0 && job.Spec.Kind != protocol.KindGang {
				m.Free = m.Free.Minus(job.Request, 1)
				m.Tasks = append(m.Tasks, RunningTasks{Job: jobIndex, Count: 1})
				job.RunningByZone[m.Zone]++
				job.Running++
				snapshot.Teams[job.Team].Used = snapshot.Teams[job.Team].Used.Minus(job.Request, -1)
			}
		}
		m.Empty = len(m.Tasks) == 0
		snapshot.Machines = append(snapshot.Machines, m)
	}
	return snapshot
}

// plain places one task after another, each where it costs least, by looking at
// everything anew each time.
func plain(snapshot *Snapshot) map[string]int {
	out := map[string]int{}
	free := make([]Resources, len(snapshot.Machines))
	gpuTask := make([]bool, len(snapshot.Machines))
	images, fetch := make([][]string, len(snapshot.Machines)), make([]float64, len(snapshot.Machines))
	for i := range snapshot.Machines {
		free[i] = snapshot.Machines[i].Free
		images[i], fetch[i] = slices.Clone(snapshot.Machines[i].Images), snapshot.Machines[i].PendingFetchGB
	}
	used := slices.Clone(snapshot.Teams)
	gpuWaits, below := false, snapshot.GPUPriority
	if below < 0 {
		below = 2 // no work with GPUs is known: only the lowest rank
	}
	for _, j := range snapshot.Jobs {
		gpuWaits = gpuWaits || (j.Request.GPUs > 0 && j.Waiting > 0 && !j.BackingOff)
	}
	for _, jobIndex := range Order(snapshot) {
		job := &snapshot.Jobs[jobIndex]
		spec := job.Spec
		if job.BackingOff || job.Waiting == 0 {
			continue
		}
		team := &used[job.Team]
		limit := 0
		for u := team.Used; limit < job.Waiting; limit++ {
			u = u.Minus(job.Request, -1)
			if (team.Max.Cores > 0 && u.Cores > team.Max.Cores) || (team.Max.GPUs > 0 && u.GPUs > team.Max.GPUs) {
				break
			}
		}
		live := map[string]int{}
		for k, v := range job.RunningByZone {
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
				for i, m := range snapshot.Machines {
					t := snapshot.Types[m.Type]
					fits := f[i].Cores >= job.Request.Cores && f[i].GPUs >= job.Request.GPUs && f[i].MemGB >= job.Request.MemGB
					place := (len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, t.Name)) && (spec.Zone == "" || spec.Zone == m.Zone) &&
						(only == "" || only == m.Zone) && (!m.Spot || spec.Spot) && (!spec.Spread || z[m.Zone] < (spec.Tasks+1)/2 || (whole && live[m.Zone] < (spec.Tasks+1)/2))
					if t.Capacity.GPUs > 0 && spec.GPUs == 0 && plainFits(snapshot, spec) {
						switch {
						case spec.Kind == protocol.KindService:
							place = false
						case gpuTask[i]:
							r := snapshot.GPURequest
							if f[i].Cores >= r.Cores && f[i].GPUs >= r.GPUs && f[i].MemGB >= r.MemGB {
								fits = f[i].Cores-r.Cores >= job.Request.Cores && f[i].MemGB-r.MemGB >= job.Request.MemGB
							}
						default:
							place = place && !gpuWaits && job.Priority > below && spec.Kind != protocol.KindGang && m.GPUIdleS < snapshot.idleTimeout(&m)
						}
					}
					if spec.OneZone && z[zones[0]]+z[zones[1]] > 0 && z[m.Zone] == 0 {
						continue
					}
					if !m.Schedulable || !fits || !place || (cached && !slices.Contains(images[i], spec.Image)) {
						continue
					}
					est := job.EstimateS
					if !slices.Contains(images[i], spec.Image) {
						if fetch[i] > tuning.FetchAheadS*t.FetchGBps {
							continue
						}
						est += (spec.ImageGB + fetch[i]) / t.FetchGBps
					}
					cost := t.HourlyPrice(m.Spot) / float64(t.Capacity.CapacityFor(job.Request)) * max(est, 1)
					tie := best >= 0 && f[i].Cores < f[best].Cores
					if spec.GPUs > 0 {
						tie = best >= 0 && m.GPUIdleS < snapshot.Machines[best].GPUIdleS
					}
					if best < 0 || cost < bestCost-1e-9 || (cost < bestCost+1e-9 && tie) {
						best, bestCost = i, cost
					}
				}
				if best < 0 {
					break
				}
				f[best] = f[best].Minus(job.Request, 1)
				z[snapshot.Machines[best].Zone]++
				at = append(at, best)
			}
			return at
		}
		// Player-facing services go where their image is, then anywhere.
		stages := []bool{false}
		if job.Priority == 0 && spec.Kind == protocol.KindService {
			stages = []bool{true, false}
		}
		for _, cached := range stages {
			at := attempt("", cached)
			if spec.OneZone {
				// The zone that takes the most; of equal ones that with the least
				// room, and then that of the cheapest.
				prefer := slices.Clone(zones)
				if len(at) > 0 && snapshot.Machines[at[0]].Zone == zones[1] {
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
			if spec.Kind == protocol.KindGang && len(at) < job.Waiting {
				continue
			}
			limit -= len(at)
			for _, i := range at {
				if !slices.Contains(images[i], spec.Image) {
					images[i] = append(images[i], spec.Image)
					fetch[i] += spec.ImageGB
				}
				free[i] = free[i].Minus(job.Request, 1)
				live[snapshot.Machines[i].Zone]++
				gpuTask[i] = gpuTask[i] || spec.GPUs > 0
				team.Used = team.Used.Minus(job.Request, -1)
				out[string(job.ID)+"@"+snapshot.Machines[i].ID]++
			}
		}
	}
	return out
}

func plainFits(snapshot *Snapshot, spec *protocol.Job) bool {
	for _, t := range snapshot.Types {
		if t.Capacity.GPUs == 0 && spec.Cores <= t.Capacity.Cores && spec.MemGB <= t.Capacity.MemGB && (len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, t.Name)) {
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
		snapshot := random(rng, false)
		got := map[string]int{}
		for _, st := range Decide(snapshot).Starts {
			got[string(snapshot.Jobs[st.Job].ID)+"@"+snapshot.Machines[st.Machine].ID] += st.Count
			placed += st.Count
		}
		if d := cmp.Diff(plain(snapshot), got); d != "" {
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
		snapshot := random(rng, true)
		p := Decide(snapshot)
		free := make([]Resources, len(snapshot.Machines))
		for k := range snapshot.Machines {
			free[k] = snapshot.Machines[k].Free
		}
		used := slices.Clone(snapshot.Teams)
		started := map[int]int{}
		touched := map[int]bool{}
		zone := map[int]map[string]int{}
		for _, st := range p.Starts {
			job, machine := &snapshot.Jobs[st.Job], &snapshot.Machines[st.Machine]
			if zone[st.Job] == nil {
				zone[st.Job] = map[string]int{}
				for z, n := range job.RunningByZone {
					zone[st.Job][z] = n
				}
			}
			zone[st.Job][machine.Zone] += st.Count
			free[st.Machine] = free[st.Machine].Minus(job.Request, st.Count)
			used[job.Team].Used = used[job.Team].Used.Minus(job.Request, -st.Count)
			started[st.Job] += st.Count
			touched[st.Machine] = true
			spec := job.Spec
			if !machine.Schedulable || (machine.Spot && !spec.Spot) || (spec.Zone != "" && spec.Zone != machine.Zone) || (spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, snapshot.Types[machine.Type].Name)) {
				t.Fatalf("snapshot %d: job %d on machine %d", i, st.Job, st.Machine)
			}
		}
		for jobIndex, n := range started {
			spec := snapshot.Jobs[jobIndex].Spec
			if n > snapshot.Jobs[jobIndex].Waiting || (spec.Kind == protocol.KindGang && n < snapshot.Jobs[jobIndex].Waiting) || snapshot.Jobs[jobIndex].BackingOff {
				t.Fatalf("snapshot %d: job %d starts %d", i, jobIndex, n)
			}
			for z, n := range zone[jobIndex] {
				if (spec.Spread && n > (spec.Tasks+1)/2 && n > snapshot.Jobs[jobIndex].RunningByZone[z]) || (spec.OneZone && len(zone[jobIndex]) > 1 && len(snapshot.Jobs[jobIndex].RunningByZone) < 2) {
					t.Fatalf("snapshot %d: job %d in zones %v", i, jobIndex, zone[jobIndex])
				}
			}
		}
		for k, f := range free {
			if f.Cores < -eps || f.GPUs < -eps || f.MemGB < -eps {
				t.Fatalf("snapshot %d: machine %d is overfull: %+v", i, k, f)
			}
		}
		for k, u := range used {
			if u.Max.Cores > 0 && u.Used.Cores > max(u.Max.Cores, snapshot.Teams[k].Used.Cores)+eps || u.Max.GPUs > 0 && u.Used.GPUs > max(u.Max.GPUs, snapshot.Teams[k].Used.GPUs)+eps {
				t.Fatalf("snapshot %d: team %d uses %+v", i, k, u)
			}
		}
		for _, st := range p.Preemptions {
			stops++
			below := false
			for jobIndex := range snapshot.Jobs {
				below = below || (snapshot.Jobs[jobIndex].Waiting > 0 && snapshot.Jobs[jobIndex].Priority < snapshot.Jobs[st.Job].Priority)
			}
			if !below {
				t.Fatalf("snapshot %d: job %d is stopped for nothing above it", i, st.Job)
			}
		}
		for _, r := range p.ScaleOuts {
			rents++
			if r.Count < 1 || !slices.Contains(snapshot.Types[r.Type].Zones, r.Zone) {
				t.Fatalf("snapshot %d: rents %+v", i, r)
			}
		}
		for _, k := range p.ScaleIns {
			if !snapshot.Machines[k].Empty || touched[k] {
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
	spec := &protocol.Job{Tasks: 4, Spread: true}
	if n := ZoneCapacity(spec, map[string]int{"a": 1, "": 1}, "a"); n != 0 {
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
	snapshot := &Snapshot{Rho: 1, IdleBootFactor: 4, StarvationShare: 0.5, GPUPriority: 2, GPURequest: need, ExhaustedPools: map[CapacityPool]bool{},
		Types: []MachineType{{Name: "card", Capacity: Resources{8, 4, 16}, Price: 9, BootS: 35, FetchGBps: 1, Zones: zones}}, Teams: []Team{{}}}
	add := func(jobID protocol.JobID, tasks int, overdue float64) {
		spec := &protocol.Job{ID: jobID, Kind: protocol.KindGang, Tasks: tasks, Cores: 4, GPUs: 4, MemGB: 8, OneZone: true, Priority: protocol.PriorityStandard}
		snapshot.Jobs = append(snapshot.Jobs, Job{ID: jobID, Spec: spec, Request: RequestOf(spec), Priority: 2, EstimateS: 60, DeadlineS: 100 - overdue, Waiting: tasks, StarvedS: overdue, Weight: 1})
	}
	add("big", 4, 5)
	for i := range 8 {
		add(protocol.JobID(fmt.Sprint("small", i)), 1, 0)
	}
	for i := range 6 {
		snapshot.Machines = append(snapshot.Machines, Machine{ID: fmt.Sprint("m", i), Zone: "a", Free: snapshot.Types[0].Capacity})
	}
	started := false
	for round := 0; round < 6; round++ { // one machine falls free after another
		snapshot.Machines[round].Schedulable = true
		for _, st := range Decide(snapshot).Starts {
			if st.Job == 0 {
				started = started || round >= 3
			} else if !started {
				t.Fatalf("round %d: %s takes a machine that the overdue gang waits for", round, snapshot.Jobs[st.Job].ID)
			}
		}
		if started {
			break
		}
	}
	if !started {
		t.Error("the overdue gang did not start")
	}
	snapshot.Jobs[0].StarvedS = 0 // the same gang, not overdue, goes behind
	snapshot.Machines[5].Schedulable, snapshot.Jobs[0].DeadlineS = false, -1
	if p := Decide(snapshot); len(p.Starts) == 0 || p.Starts[0].Job == 0 {
		t.Errorf("starts %v", p.Starts)
	}
}

// A gang for which a part of the room is there gets the rest rented. (The chaos
// test found one waiting for ever: the machine that was free for a part of it
// was taken for all it needed. So would be machines in different zones.)
func TestGangRentsTheRest(t *testing.T) {
	spec := &protocol.Job{ID: "g", Kind: protocol.KindGang, Tasks: 3, Cores: 4, GPUs: 2, MemGB: 8, OneZone: true, Spot: true}
	snapshot := &Snapshot{Rho: 1, MayScaleOut: true, ExhaustedPools: map[CapacityPool]bool{}, Teams: []Team{{}},
		Types: []MachineType{{Name: "card", Capacity: Resources{8, 4, 16}, Price: 9, SpotPrice: 3, BootS: 35, FetchGBps: 1, Zones: zones}},
		Jobs:  []Job{{ID: "g", Spec: spec, Request: RequestOf(spec), Priority: 1, EstimateS: 60, DeadlineS: -10, Waiting: 3}}}
	for _, z := range zones {
		snapshot.Machines = append(snapshot.Machines, Machine{Zone: z, Schedulable: true, Free: snapshot.Types[0].Capacity})
	}
	if r := Decide(snapshot).ScaleOuts; len(r) != 1 || r[0].Count != 1 {
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
		snapshot := &Snapshot{Rho: 1, IdleBootFactor: 4, StarvationShare: 0.5, GPUPriority: 2, GPURequest: Resources{4, 4, 8}, ExhaustedPools: map[CapacityPool]bool{},
			Types: []MachineType{
				{Name: "card", Capacity: Resources{8, 4, 16}, Price: 9, BootS: 35, FetchGBps: 1, Zones: zones},
				{Name: "cpu", Capacity: Resources{16, 0, 64}, Price: 1, BootS: 35, FetchGBps: 1, Zones: zones},
			}, Teams: make([]Team, 10)}
		for i := range 120 {
			m := Machine{ID: fmt.Sprint("m", i), Type: i % 2, Zone: zones[i/2%2], Schedulable: true}
			m.Free = snapshot.Types[m.Type].Capacity
			snapshot.Machines = append(snapshot.Machines, m)
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
					job, machine := &snapshot.Jobs[r.job], &snapshot.Machines[r.machine]
					machine.Free = machine.Free.Minus(job.Request, -r.n)
					for k, x := range machine.Tasks {
						if x.Job == r.job {
							if machine.Tasks[k].Count -= r.n; machine.Tasks[k].Count == 0 {
								machine.Tasks = slices.Delete(slices.Clone(machine.Tasks), k, k+1)
							}
							break
						}
					}
					job.Running -= r.n
					snapshot.Teams[job.Team].Used = snapshot.Teams[job.Team].Used.Minus(job.Request, r.n)
				}
			}
			runs = slices.DeleteFunc(runs, func(r run) bool { return r.ends == now })
			for range 2 {
				spec := &protocol.Job{ID: protocol.JobID(fmt.Sprint(len(snapshot.Jobs))), MemGB: 8, Spot: true}
				switch {
				case rng.Float64() < 0.10: // a gang; of the tasks, half are in the largest
					spec.Kind, spec.Tasks, spec.Cores, spec.GPUs, spec.OneZone = protocol.KindGang, []int{1, 1, 1, 1, 2, 2, 2, 4, 4, 16}[rng.IntN(10)], 4, 4, true
				case rng.Float64() < 0.018:
					spec.Kind, spec.Tasks, spec.Cores = protocol.KindArray, []int{10, 20, 30, 40, 300}[rng.IntN(5)], 4
				default:
					continue
				}
				j := Job{ID: spec.ID, Spec: spec, Request: RequestOf(spec), Priority: 2, EstimateS: 60, Waiting: spec.Tasks, Weight: 1, Team: rng.IntN(10)}
				snapshot.Jobs = append(snapshot.Jobs, j)
				jobs = append(jobs, state{at: now, begun: -1, left: spec.Tasks, lasts: 30 + rng.IntN(60)})
			}
			for i := range snapshot.Jobs {
				job := &snapshot.Jobs[i]
				age := float64(now - jobs[i].at)
				job.DeadlineS = 180 - age
				job.StarvedS = 0
				if job.Waiting > 0 {
					job.StarvedS = max(0, age-60)
				}
			}
			for _, st := range Decide(snapshot).Starts {
				job, machine := &snapshot.Jobs[st.Job], &snapshot.Machines[st.Machine]
				machine.Free = machine.Free.Minus(job.Request, st.Count)
				machine.Tasks = append(slices.Clone(machine.Tasks), RunningTasks{Job: st.Job, Count: st.Count, RemainingS: 60})
				job.Waiting -= st.Count
				job.Running += st.Count
				snapshot.Teams[job.Team].Used = snapshot.Teams[job.Team].Used.Minus(job.Request, -st.Count)
				runs = append(runs, run{st.Job, st.Machine, st.Count, now + jobs[st.Job].lasts})
				if job.Waiting == 0 {
					jobs[st.Job].begun = now
					waits[job.Team] = append(waits[job.Team], now-jobs[st.Job].at)
				}
			}
		}
		for i, j := range jobs {
			if j.begun < 0 && j.at < 960 || j.begun-j.at > 240 {
				t.Errorf("seed %d: job %d of %d tasks (%s, team %d), there at %d s, has all begun at %d s", seed, i, snapshot.Jobs[i].Spec.Tasks, snapshot.Jobs[i].Spec.Kind, snapshot.Jobs[i].Team, j.at, j.begun)
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
	snapshot := &Snapshot{Rho: 1, GPUPriority: -1, ExhaustedPools: map[CapacityPool]bool{}, Teams: []Team{{}},
		Types: []MachineType{{Name: "small", Capacity: Resources{4, 0, 16}, Price: 1, BootS: 30, FetchGBps: 1, Zones: zones}}}
	for i, level := range []protocol.PriorityLevel{0, 2, 3} {
		spec := &protocol.Job{ID: protocol.JobID(fmt.Sprint(i)), Kind: protocol.KindArray, Tasks: 1, Cores: 4, MemGB: 4}
		j := Job{ID: spec.ID, Spec: spec, Request: RequestOf(spec), Priority: level, EstimateS: 60, DeadlineS: 100}
		if level == 0 {
			spec.Kind, j.Waiting = protocol.KindService, 1
		} else {
			j.Running = 1
			snapshot.Machines = append(snapshot.Machines, Machine{ID: string(spec.ID), Zone: "a", Schedulable: true, Free: Resources{0, 0, 12},
				Tasks: []RunningTasks{{Job: i, Count: 1, LostWorkS: float64(level*10 - 15)}}})
		}
		snapshot.Jobs = append(snapshot.Jobs, j)
	}
	if st := Decide(snapshot).Preemptions; len(st) != 1 || st[0].Job != 2 {
		t.Errorf("stops %+v", st)
	}
}

// That one job found no room on a machine busy fetching says nothing of a like
// job whose image is there.
func TestFullIsByImage(t *testing.T) {
	snapshot := &Snapshot{Rho: 1, GPUPriority: -1, ExhaustedPools: map[CapacityPool]bool{}, Teams: []Team{{}},
		Types:    []MachineType{{Name: "small", Capacity: Resources{4, 0, 16}, Price: 1, BootS: 30, FetchGBps: 1, Zones: zones}},
		Machines: []Machine{{Zone: "a", Schedulable: true, Free: Resources{4, 0, 16}, Images: []string{"there"}, PendingFetchGB: 2 * tuning.FetchAheadS}}}
	for i, image := range []string{"elsewhere", "there"} {
		spec := &protocol.Job{ID: protocol.JobID(fmt.Sprint(i)), Kind: protocol.KindArray, Tasks: 1, Cores: 1, MemGB: 1, Image: image, ImageGB: 2}
		snapshot.Jobs = append(snapshot.Jobs, Job{ID: spec.ID, Spec: spec, Request: RequestOf(spec), Priority: 2, EstimateS: 60, DeadlineS: 500 + float64(i), Waiting: 1})
	}
	if st := Decide(snapshot).Starts; len(st) != 1 || st[0].Job != 1 {
		t.Errorf("starts %+v", st)
	}
}
