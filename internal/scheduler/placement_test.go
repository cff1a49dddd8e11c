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
