package scheduler

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"marblehaven/internal/protocol"
)

// For every snapshot, a plan obeys the rules on placement, capacity and quotas, preempts
// only lower priorities, and returns only empty machines.
func TestPlanKeepsRules(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	preemptions, scaleOuts := 0, 0
	for i := range 4000 {
		snapshot := randomSnapshot(rng, true)
		check := newPlanCheck(i, snapshot, Decide(snapshot))
		check.starts(t)
		check.startedJobs(t)
		check.capacity(t)
		check.quotas(t)
		check.preemptions(t)
		check.scaleOuts(t)
		check.scaleIns(t)
		preemptions += len(check.plan.Preemptions)
		scaleOuts += len(check.plan.ScaleOuts)
	}
	if preemptions == 0 || scaleOuts == 0 {
		t.Errorf("%d preemptions and %d scale-out requests: the snapshots must lead to both", preemptions, scaleOuts)
	}
}

// planCheck holds a plan and the totals of its starts.
type planCheck struct {
	number      int // of the snapshot, for failure messages
	snapshot    *Snapshot
	plan        Plan
	free        []Resources            // by machine
	teams       []Team                 // including what the plan starts
	started     map[int]int            // started tasks by job
	tasksByZone map[int]map[string]int // by job, including tasks that ran before
	machineUsed map[int]bool
}

func newPlanCheck(number int, snapshot *Snapshot, plan Plan) *planCheck {
	c := &planCheck{number: number, snapshot: snapshot, plan: plan, teams: slices.Clone(snapshot.Teams),
		started: map[int]int{}, tasksByZone: map[int]map[string]int{}, machineUsed: map[int]bool{}}
	for i := range snapshot.Machines {
		c.free = append(c.free, snapshot.Machines[i].Free)
	}
	for _, start := range plan.Starts {
		c.addStart(start)
	}
	return c
}

func (c *planCheck) addStart(start Start) {
	job, machine := &c.snapshot.Jobs[start.Job], &c.snapshot.Machines[start.Machine]
	if c.tasksByZone[start.Job] == nil {
		c.tasksByZone[start.Job] = map[string]int{}
		maps.Copy(c.tasksByZone[start.Job], job.RunningByZone)
	}
	c.tasksByZone[start.Job][machine.Zone] += start.Count
	c.free[start.Machine] = c.free[start.Machine].Minus(job.Request, start.Count)
	c.teams[job.Team].Used = c.teams[job.Team].Used.Minus(job.Request, -start.Count)
	c.started[start.Job] += start.Count
	c.machineUsed[start.Machine] = true
}

// starts checks that each task is started on a machine that is up and that its job
// allows.
func (c *planCheck) starts(t *testing.T) {
	t.Helper()
	for _, start := range c.plan.Starts {
		spec, machine := c.snapshot.Jobs[start.Job].Spec, &c.snapshot.Machines[start.Machine]
		optionAllowed := !machine.Spot || spec.Spot
		zoneAllowed := spec.Zone == "" || spec.Zone == machine.Zone
		typeAllowed := spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, c.snapshot.Types[machine.Type].Name)
		if !machine.Schedulable || !optionAllowed || !zoneAllowed || !typeAllowed {
			t.Fatalf("snapshot %d: job %d must not start on machine %d", c.number, start.Job, start.Machine)
		}
	}
}

// startedJobs checks that no job starts more tasks than wait, that none starts during its
// backoff, that gangs start as a whole, and that conditions on zones hold.
func (c *planCheck) startedJobs(t *testing.T) {
	t.Helper()
	for jobIndex, tasks := range c.started {
		job := &c.snapshot.Jobs[jobIndex]
		partOfGang := job.Spec.Kind == protocol.KindGang && tasks < job.Waiting
		if tasks > job.Waiting || partOfGang || job.BackingOff {
			t.Fatalf("snapshot %d: job %d must not start %d tasks", c.number, jobIndex, tasks)
		}
		c.zones(t, jobIndex)
	}
}

// zones checks that a spread job has at most half of its tasks in a zone and that a job
// bound to one zone is in one, unless the snapshot violated this already.
func (c *planCheck) zones(t *testing.T, jobIndex int) {
	t.Helper()
	job, inZones := &c.snapshot.Jobs[jobIndex], c.tasksByZone[jobIndex]
	half := (job.Spec.Tasks + 1) / 2
	for zone, tasks := range inZones {
		notSpread := job.Spec.Spread && tasks > half && tasks > job.RunningByZone[zone]
		notTogether := job.Spec.OneZone && len(inZones) > 1 && len(job.RunningByZone) < 2
		if notSpread || notTogether {
			t.Fatalf("snapshot %d: job %d violates its zone conditions with tasks by zone %v", c.number, jobIndex, inZones)
		}
	}
}

// capacity checks that no machine is given more than its capacity.
func (c *planCheck) capacity(t *testing.T) {
	t.Helper()
	for i, free := range c.free {
		if free.Cores < -epsilon || free.GPUs < -epsilon || free.MemGB < -epsilon {
			t.Fatalf("snapshot %d: machine %d is over its capacity, free %+v", c.number, i, free)
		}
	}
}

// quotas checks that no team uses more than its quota, or than it used before if that is
// more.
func (c *planCheck) quotas(t *testing.T) {
	t.Helper()
	exceeds := func(limit, used, before float64) bool { return limit > 0 && used > max(limit, before)+epsilon }
	for i, team := range c.teams {
		before := c.snapshot.Teams[i].Used
		if exceeds(team.Max.Cores, team.Used.Cores, before.Cores) || exceeds(team.Max.GPUs, team.Used.GPUs, before.GPUs) {
			t.Fatalf("snapshot %d: team %d exceeds its quota: %+v", c.number, i, team)
		}
	}
}

// preemptions checks that each preempted job has a lower priority than some job that
// waits.
func (c *planCheck) preemptions(t *testing.T) {
	t.Helper()
	for _, preemption := range c.plan.Preemptions {
		preempted := &c.snapshot.Jobs[preemption.Job]
		higherWaits := slices.ContainsFunc(c.snapshot.Jobs, func(job Job) bool { return job.Waiting > 0 && job.Priority < preempted.Priority })
		if !higherWaits {
			t.Fatalf("snapshot %d: job %d is preempted but no job of a higher priority waits", c.number, preemption.Job)
		}
	}
}

// scaleOuts checks that machines are requested only in zones that have their type.
func (c *planCheck) scaleOuts(t *testing.T) {
	t.Helper()
	for _, request := range c.plan.ScaleOuts {
		if request.Count < 1 || !slices.Contains(c.snapshot.Types[request.Type].Zones, request.Zone) {
			t.Fatalf("snapshot %d: invalid scale-out request %+v", c.number, request)
		}
	}
}

// scaleIns checks that only machines that are empty and get no tasks are returned.
func (c *planCheck) scaleIns(t *testing.T) {
	t.Helper()
	for _, i := range c.plan.ScaleIns {
		if !c.snapshot.Machines[i].Empty || c.machineUsed[i] {
			t.Fatalf("snapshot %d: machine %d is returned while in use", c.number, i)
		}
	}
}
