package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"marblehaven/internal/protocol"
)

// Under random loads that the machines can carry, every job starts within four minutes,
// including the largest of each kind: a gang that needs one zone while small gangs keep
// taking its machines, and an array of hundreds of tasks among small arrays. Each team is
// also served as well as the others.
func TestLargestBegin(t *testing.T) {
	for seed := range uint64(12) {
		simulation := newLoadSimulation(seed)
		for now := 0; now < 1200; now++ {
			simulation.step(now)
		}
		simulation.checkStarts(t, seed)
		simulation.checkTeams(t, seed)
	}
}

// loadSimulation simulates random jobs on a cluster of fixed size in steps of one second.
type loadSimulation struct {
	rng      *rand.Rand
	snapshot *Snapshot
	jobs     []simulatedJob // in the order of snapshot.Jobs
	runs     []simulatedRun
	waits    [][]int // by team: seconds from the submission of a job until all its tasks had started
}

type simulatedJob struct {
	submittedAt, startedAt int // startedAt is -1 until all tasks have started
	durationS              int
}

// simulatedRun is a group of tasks of a job on a machine that end together.
type simulatedRun struct{ job, machine, tasks, endsAt int }

func newLoadSimulation(seed uint64) *loadSimulation {
	snapshot := &Snapshot{
		Rho: 1, IdleTimeoutBootFactor: 4, StarvationShare: 0.5,
		LowestGPUPriority: 2, LargestGPURequest: Resources{4, 4, 8},
		ExhaustedPools: map[CapacityPool]bool{},
		Types: []MachineType{
			{Name: "card", Capacity: Resources{8, 4, 16}, Price: 9, BootS: 35, FetchGBps: 1, Zones: zones},
			{Name: "cpu", Capacity: Resources{16, 0, 64}, Price: 1, BootS: 35, FetchGBps: 1, Zones: zones},
		},
		Teams: make([]Team, 10),
	}
	for i := range 120 {
		machine := Machine{ID: fmt.Sprint("m", i), Type: i % 2, Zone: zones[i/2%2], Schedulable: true}
		machine.Free = snapshot.Types[machine.Type].Capacity
		snapshot.Machines = append(snapshot.Machines, machine)
	}
	return &loadSimulation{rng: rand.New(rand.NewPCG(seed, 9)), snapshot: snapshot, waits: make([][]int, 10)}
}

// step simulates one second.
func (s *loadSimulation) step(now int) {
	s.endRuns(now)
	for range 2 {
		s.submit(now)
	}
	s.updateDeadlines(now)
	for _, start := range Decide(s.snapshot).Starts {
		s.start(start, now)
	}
}

// endRuns frees the resources of the tasks that end now.
func (s *loadSimulation) endRuns(now int) {
	for _, run := range s.runs {
		if run.endsAt != now {
			continue
		}
		job, machine := &s.snapshot.Jobs[run.job], &s.snapshot.Machines[run.machine]
		machine.Free = machine.Free.Minus(job.Request, -run.tasks)
		removeTasks(machine, run)
		job.Running -= run.tasks
		s.snapshot.Teams[job.Team].Used = s.snapshot.Teams[job.Team].Used.Minus(job.Request, run.tasks)
	}
	s.runs = slices.DeleteFunc(s.runs, func(run simulatedRun) bool { return run.endsAt == now })
}

func removeTasks(machine *Machine, run simulatedRun) {
	k := slices.IndexFunc(machine.Tasks, func(running RunningTasks) bool { return running.Job == run.job })
	if k < 0 {
		return
	}
	if machine.Tasks[k].Count -= run.tasks; machine.Tasks[k].Count == 0 {
		machine.Tasks = slices.Delete(slices.Clone(machine.Tasks), k, k+1)
	}
}

// submit submits a random job or none.
func (s *loadSimulation) submit(now int) {
	spec := s.randomSpec()
	if spec == nil {
		return
	}
	s.snapshot.Jobs = append(s.snapshot.Jobs, Job{
		ID: spec.ID, Spec: spec, Request: RequestOf(spec), Priority: 2,
		EstimateS: 60, Waiting: spec.Tasks, Weight: 1, Team: s.rng.IntN(10),
	})
	s.jobs = append(s.jobs, simulatedJob{submittedAt: now, startedAt: -1, durationS: 30 + s.rng.IntN(60)})
}

// randomSpec returns a gang, an array or nothing. About half of the tasks of gangs belong
// to the largest gangs.
func (s *loadSimulation) randomSpec() *protocol.Job {
	spec := &protocol.Job{ID: protocol.JobID(fmt.Sprint(len(s.snapshot.Jobs))), MemGB: 8, Cores: 4, Spot: true}
	switch {
	case s.rng.Float64() < 0.10:
		spec.Kind, spec.GPUs, spec.OneZone = protocol.KindGang, 4, true
		spec.Tasks = []int{1, 1, 1, 1, 2, 2, 2, 4, 4, 16}[s.rng.IntN(10)]
	case s.rng.Float64() < 0.018:
		spec.Kind = protocol.KindArray
		spec.Tasks = []int{10, 20, 30, 40, 300}[s.rng.IntN(5)]
	default:
		return nil
	}
	return spec
}

// updateDeadlines sets the deadline and the starvation of each job for the time now.
func (s *loadSimulation) updateDeadlines(now int) {
	for i := range s.snapshot.Jobs {
		job := &s.snapshot.Jobs[i]
		ageS := float64(now - s.jobs[i].submittedAt)
		job.DeadlineS = 180 - ageS
		job.StarvedS = 0
		if job.Waiting > 0 {
			job.StarvedS = max(0, ageS-60)
		}
	}
}

// start carries out one start of a plan.
func (s *loadSimulation) start(start Start, now int) {
	job, machine, state := &s.snapshot.Jobs[start.Job], &s.snapshot.Machines[start.Machine], &s.jobs[start.Job]
	machine.Free = machine.Free.Minus(job.Request, start.Count)
	machine.Tasks = append(slices.Clone(machine.Tasks), RunningTasks{Job: start.Job, Count: start.Count, RemainingS: 60})
	job.Waiting -= start.Count
	job.Running += start.Count
	s.snapshot.Teams[job.Team].Used = s.snapshot.Teams[job.Team].Used.Minus(job.Request, -start.Count)
	s.runs = append(s.runs, simulatedRun{start.Job, start.Machine, start.Count, now + state.durationS})
	if job.Waiting == 0 {
		state.startedAt = now
		s.waits[job.Team] = append(s.waits[job.Team], now-state.submittedAt)
	}
}

// checkStarts checks that every job started all its tasks within four minutes, unless it
// was submitted too late for that.
func (s *loadSimulation) checkStarts(t *testing.T, seed uint64) {
	t.Helper()
	for i, state := range s.jobs {
		neverStarted := state.startedAt < 0 && state.submittedAt < 960
		if neverStarted || state.startedAt-state.submittedAt > 240 {
			job := &s.snapshot.Jobs[i]
			t.Errorf("seed %d: job %d of %d tasks (%s, team %d), submitted at %d s, had started all tasks at %d s",
				seed, i, job.Spec.Tasks, job.Spec.Kind, job.Team, state.submittedAt, state.startedAt)
		}
	}
}

// checkTeams checks that half of each team's jobs wait for no more than a minute.
func (s *loadSimulation) checkTeams(t *testing.T, seed uint64) {
	t.Helper()
	for team, waits := range s.waits {
		slices.Sort(waits)
		if len(waits) > 0 && waits[len(waits)/2] > 60 {
			t.Errorf("seed %d: the median wait of the jobs of team %d is %d s, want at most 60 s", seed, team, waits[len(waits)/2])
		}
	}
}
