package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"marblehaven/internal/protocol"
)

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
