package server

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
)

// TestChaos causes random failures, several at a time, in clusters of 3, 5 and 7
// controllers. The network also delivers late copies of heartbeats, commands, commits and
// provisioning requests.
func TestChaos(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var names []string
			for i := range 3 + 2*(seed%3) {
				names = append(names, fmt.Sprint("marble-", i))
			}
			runWithNodes(t, 1000+seed, names, func(c *testCluster) { chaos(c, seed) })
		})
	}
}

// chaosSteps is the number of steps of a chaos run. Each step submits one job and causes
// one failure.
const chaosSteps = 70

// chaosRun is one run of random failures against a test cluster. The order of the
// statements decides which random numbers of a seed they draw, so every step draws a
// complete target even if the failure that it then picks uses only part of the target.
type chaosRun struct {
	*testCluster
	rng       *rand.Rand
	submitted int // number of jobs submitted so far, and the number in the last one's ID

	jobsMu sync.Mutex
	// mustFinish lists the jobs that must be done at the end of the run, unless one of
	// their dependencies is cancelled.
	mustFinish []protocol.JobID
	// dependencies lists the accepted jobs that later jobs may depend on.
	dependencies []protocol.JobID
}

// chaosTarget holds the controller, the machine and the kind of cut that a step's failure
// can use.
type chaosTarget struct {
	controller string
	cutMode    fake.CutMode
	machines   []string
	machine    string // one of machines; empty if no machine is up
}

// chaosFailures lists the failures from which each step picks one at random. A failure
// that is listed twice is twice as likely.
var chaosFailures = [...]func(*chaosRun, chaosTarget){
	0:  (*chaosRun).restartController,
	1:  (*chaosRun).partitionFromStore,
	2:  (*chaosRun).refuseController,
	3:  (*chaosRun).refuseAllControllers,
	4:  (*chaosRun).partitionMachine,
	5:  (*chaosRun).hangMachine,
	6:  (*chaosRun).killMachine,
	7:  (*chaosRun).partitionControllerFromMachine,
	8:  (*chaosRun).restartControllerRepeatedly,
	9:  (*chaosRun).holdInboundOfMachine,
	10: (*chaosRun).partitionFromStoreAndPeers,
	11: (*chaosRun).partitionFromPeers,
	12: (*chaosRun).partitionFromMachines,
	13: (*chaosRun).partitionZone,
	14: (*chaosRun).blockOutboundOfMachine,
	15: (*chaosRun).blockOutboundOfAllMachines,
	16: (*chaosRun).commitLate,
	17: (*chaosRun).hangMachineInCommand,
	18: (*chaosRun).cancelAsStoreRefusesLeader,
	19: (*chaosRun).submitInvalidJobs,
	20: (*chaosRun).failCommits,
	21: (*chaosRun).failCommits,
	22: (*chaosRun).rebootMachine,
	23: (*chaosRun).rebootMachineAndKillLeader,
}

// chaos submits and cancels jobs of all kinds while controllers crash, links are cut,
// machines hang or disappear, and the key-value store refuses one controller or all.
func chaos(c *testCluster, seed uint64) { chaosWithSteps(c, seed, func(int) bool { return true }) }

// chaosWithSteps runs chaos and calls the scenario's beforeStep before each step. The result
// of beforeStep says whether jobs submitted in that step may depend on others.
func chaosWithSteps(c *testCluster, seed uint64, beforeStep func(step int) bool) {
	r := &chaosRun{testCluster: c, rng: rand.New(rand.NewPCG(seed, 7))}
	r.configure()
	for step := range chaosSteps {
		r.submitRandomJob(beforeStep(step))
		target := r.randomTarget()
		chaosFailures[r.rng.IntN(len(chaosFailures))](r, target)
		if r.rng.IntN(3) > 0 {
			time.Sleep(r.seconds(1, 12))
		}
		r.pollSomeJobs()
	}
	time.Sleep(90 * time.Second)
	r.expectJobsDone()
}

// configure makes the network repeat requests, the cloud run out of machines, and lists
// take several pages, as they do at production size.
func (r *chaosRun) configure() {
	r.network.SetDuplicates(map[string]time.Duration{"/do": 20 * time.Second, "/hello": 40 * time.Second, "/commit": 20 * time.Second,
		"/rentals": 20 * time.Second, "/rentals/return": 20 * time.Second, "/v1/jobs": 60 * time.Second})
	r.env.LimitCapacity("small", "a", true, 2)
	r.env.LimitCapacity("big", "a", true, 1)
	r.env.LimitCapacity("big", "b", false, 3)
	r.env.Store.SetMaxPageSize(1 + r.rng.IntN(20))
	r.env.SetCloudMaxPageSize(1 + r.rng.IntN(5))
}

// seconds draws a random number of whole seconds in the range [low, high).
func (r *chaosRun) seconds(low, high int) time.Duration {
	return time.Duration(low+r.rng.IntN(high-low)) * time.Second
}

// runAfter calls f after a delay, unless the scenario has ended by then.
func (r *chaosRun) runAfter(delay time.Duration, f func()) {
	go func() {
		time.Sleep(delay)
		if r.ctx.Err() == nil {
			f()
		}
	}()
}

// submitRandomJob submits a random job. It cancels the job 1 to 59 s after the submission
// if the job is a service, and otherwise with a probability of one in four.
func (r *chaosRun) submitRandomJob(mayDepend bool) {
	r.submitted++
	runS := float64(5 + r.rng.IntN(40))
	job := r.randomJob()
	cancel := job.Kind == protocol.KindService || r.rng.IntN(4) == 0
	r.addDependencies(&job, mayDepend)
	cancelAfter := r.seconds(1, 60)
	go func() {
		r.submitJob(job, runS, cancel)
		if cancel {
			time.Sleep(cancelAfter)
			if r.ctx.Err() == nil {
				r.env.Cancel(job.ID)
			}
		}
	}()
}

// randomJob draws a job of a random kind and team.
func (r *chaosRun) randomJob() protocol.Job {
	var job protocol.Job
	switch r.rng.IntN(4) {
	case 0:
		job = serviceJob(r.submitted, 1+r.rng.IntN(3))
	case 1:
		job = gangJob(r.submitted, 1+r.rng.IntN(3))
	default:
		job = arrayJob(r.submitted, "check", 1+r.rng.IntN(20))
	}
	if r.rng.IntN(2) == 0 && job.Kind != protocol.KindGang {
		job.Team = "blue"
	}
	return job
}

// addDependencies makes a job depend on up to two others, unless it is a service.
func (r *chaosRun) addDependencies(job *protocol.Job, mayDepend bool) {
	r.jobsMu.Lock()
	defer r.jobsMu.Unlock()
	for range r.rng.IntN(3) {
		if mayDepend && len(r.dependencies) > 0 && job.Kind != protocol.KindService {
			job.DependsOn = append(job.DependsOn, r.dependencies[r.rng.IntN(len(r.dependencies))])
		}
	}
}

// submitJob submits a job. If the job is accepted, submitJob records that the job must
// finish, unless it will be cancelled, and that later jobs may depend on it, unless it is
// a service. A job that was not accepted within the time limit need not finish.
func (r *chaosRun) submitJob(job protocol.Job, runS float64, cancel bool) {
	if status := r.env.Submit(job, runS); status != 200 && status != 201 {
		return
	}
	r.jobsMu.Lock()
	defer r.jobsMu.Unlock()
	if !cancel {
		r.mustFinish = append(r.mustFinish, job.ID)
	}
	if job.Kind != protocol.KindService {
		r.dependencies = append(r.dependencies, job.ID)
	}
}

// randomTarget draws the target of a step's failure.
func (r *chaosRun) randomTarget() chaosTarget {
	var target chaosTarget
	target.controller = r.names[r.rng.IntN(len(r.names))]
	target.cutMode = fake.CutMode(1 + r.rng.IntN(2))
	target.machines = r.env.Machines()
	if len(target.machines) > 0 {
		target.machine = target.machines[r.rng.IntN(len(target.machines))]
	}
	return target
}

// pollSomeJobs polls about an eighth of the jobs that must finish, as their users do.
func (r *chaosRun) pollSomeJobs() {
	r.jobsMu.Lock()
	defer r.jobsMu.Unlock()
	for _, jobID := range r.mustFinish {
		if r.rng.IntN(8) == 0 {
			go r.env.QueryStatus(jobID)
		}
	}
}

// expectJobsDone waits until all jobs in mustFinish are done, except those that a user has
// cancelled or that depend on a job that a user has cancelled.
func (r *chaosRun) expectJobsDone() {
	r.env.EndFaults() // every failure has ended by now
	r.jobsMu.Lock()
	jobIDs := slices.DeleteFunc(slices.Clone(r.mustFinish), func(jobID protocol.JobID) bool { return !r.env.MayFinish(jobID) })
	r.jobsMu.Unlock()
	if len(jobIDs) == 0 {
		r.t.Fatal("no job was accepted")
	}
	r.expectStatusAnswers(jobIDs...)
	r.untilDone(10*time.Minute, jobIDs...)
	time.Sleep(time.Minute)
}
