package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"

	"marblehaven/internal/protocol"
)

// Whatever the snapshot, a plan keeps the rules on places, room and quota, only
// stops what ranks lower, and only returns what is empty.
func TestPlanKeepsRules(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	stops, rents := 0, 0
	for i := range 4000 {
		snapshot := randomSnapshot(rng, true)
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
			if f.Cores < -epsilon || f.GPUs < -epsilon || f.MemGB < -epsilon {
				t.Fatalf("snapshot %d: machine %d is overfull: %+v", i, k, f)
			}
		}
		for k, u := range used {
			if u.Max.Cores > 0 && u.Used.Cores > max(u.Max.Cores, snapshot.Teams[k].Used.Cores)+epsilon || u.Max.GPUs > 0 && u.Used.GPUs > max(u.Max.GPUs, snapshot.Teams[k].Used.GPUs)+epsilon {
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
