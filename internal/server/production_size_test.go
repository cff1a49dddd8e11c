package server

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

// productionLoad submits and cancels jobs in a test cluster of production size, as users do,
// and starts failures in it.
type productionLoad struct {
	*testCluster
	rng                *rand.Rand
	arraysSubmitted    int
	pipelinesSubmitted int
	mustFinishMu       sync.Mutex
	// mustFinish lists the jobs that must be done at the end, unless they or any of their
	// dependencies are cancelled; guarded by mustFinishMu.
	mustFinish []protocol.JobID
}

// addMustFinish adds jobs to mustFinish.
func (l *productionLoad) addMustFinish(jobIDs ...protocol.JobID) {
	l.mustFinishMu.Lock()
	defer l.mustFinishMu.Unlock()
	l.mustFinish = append(l.mustFinish, jobIDs...)
}

// mustFinishJobs returns a copy of mustFinish.
func (l *productionLoad) mustFinishJobs() []protocol.JobID {
	l.mustFinishMu.Lock()
	defer l.mustFinishMu.Unlock()
	return slices.Clone(l.mustFinish)
}

// submitArrays submits large array jobs, alternately for both teams.
func (l *productionLoad) submitArrays(count int) {
	for range count {
		l.arraysSubmitted++
		job := arrayJob(l.arraysSubmitted, "check", 60+l.rng.IntN(60))
		job.Team, job.EstimateS = []string{"red", "blue"}[l.arraysSubmitted%2], 60
		l.submit(job, 40)
		l.addMustFinish(job.ID)
	}
}

// submitPipelines submits pipelines. In every second pipeline it cancels one job, up to 29 s
// later.
func (l *productionLoad) submitPipelines(count int) {
	for range count {
		l.pipelinesSubmitted++
		jobIDs := l.pipeline(10000 + 10*l.pipelinesSubmitted)
		l.addMustFinish(jobIDs...)
		if l.pipelinesSubmitted%2 == 0 {
			continue
		}
		pause, stage := time.Duration(l.rng.IntN(30))*time.Second, l.rng.IntN(4)
		go func() {
			time.Sleep(pause)
			if l.ctx.Err() == nil {
				l.env.Cancel(jobIDs[stage])
			}
		}()
	}
}

// pollInBackground polls random jobs, as their users do, until the scenario ends.
func (l *productionLoad) pollInBackground() {
	go func() {
		for l.ctx.Err() == nil {
			jobIDs := l.mustFinishJobs()
			jobID := jobIDs[int(l.env.Random()*float64(len(jobIDs)))]
			go l.env.QueryStatus(jobID)
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

// randomMachines returns a random selection of about the given share of the machines.
func (l *productionLoad) randomMachines(share float64) []string {
	return slices.DeleteFunc(l.env.Machines(), func(string) bool { return l.env.Random() >= share })
}

// startFailure starts one of the kinds of failure that the operators expect, and returns a
// function that ends it.
func (l *productionLoad) startFailure(kind int) (end func()) {
	var endFuncs []func()
	leader := l.leader()
	switch kind {
	case 0: // transactions or their answers are lost, or transactions are throttled or refused
		l.env.Store.SetFault(l.faultyCommits())
		endFuncs = append(endFuncs, func() { l.env.Store.SetFault(nil) })
	case 1: // some transactions are executed late
		l.env.Store.SetExecutionDelay(l.lateCommits(0.15))
		endFuncs = append(endFuncs, func() { l.env.Store.SetExecutionDelay(nil) })
	case 2: // the store refuses the leader and then all controllers, while users cancel jobs
		l.env.Store.SetUnavailable(leader, true)
		l.submitPipelines(2)
		time.Sleep(time.Second)
		l.env.Store.SetUnavailable("", true)
		endFuncs = append(endFuncs, func() {
			l.env.Store.SetUnavailable("", false)
			l.env.Store.SetUnavailable(leader, false)
		})
	case 3: // the leader is cut off from the store and all other controllers
		if leader != "" {
			endFuncs = append(endFuncs, l.isolateFromStoreAndPeers(leader))
		}
	case 4: // one-way partitions: some machines cannot open connections, others receive nothing
		for _, machine := range l.randomMachines(0.1) {
			endFuncs = append(endFuncs, l.network.BlockOutbound(machine))
		}
		for _, machine := range l.randomMachines(0.1) {
			endFuncs = append(endFuncs, l.network.HoldInbound(machine))
		}
	case 5: // some machines hang, and others are removed without notice
		for _, machine := range l.randomMachines(0.05) {
			endFuncs = append(endFuncs, l.env.Hang(machine))
		}
		for _, machine := range l.randomMachines(0.05) {
			l.env.Kill(machine)
		}
	case 6: // leaders are killed one after another, and boot again at once
		for range 3 {
			if old := l.killLeader(); old != "" {
				l.boot(old)
			}
			time.Sleep(3 * time.Second)
		}
	}
	return func() {
		for _, end := range endFuncs {
			end()
		}
	}
}

// TestProductionSize runs a cluster with hundreds of machines, lists of several pages, run
// records in segments and pipelines of jobs. The controllers are upgraded, the key-value
// store's limits become smaller, and random pairs of failures follow. Every job that is not
// cancelled must get done without a violation of the checker's rules.
func TestProductionSize(t *testing.T) {
	t.Parallel()
	const failureKinds = 7
	for seed := range seedCount(1) {
		names, dep := productionSizeDeployment()
		runUpgradeIn(t, 810+seed, names, dep, func(c *testCluster) {
			l := &productionLoad{testCluster: c, rng: rand.New(rand.NewPCG(seed, 13))}
			c.network.SetDuplicates(map[string]time.Duration{"/hello": 40 * time.Second, "/do": 20 * time.Second, "/commit": 20 * time.Second})
			c.env.Store.SetMaxPageSize(40)
			c.env.SetCloudMaxPageSize(70)
			l.submitArrays(12)
			c.until("at least 200 machines are up", 3*time.Minute, func() bool { return len(c.env.Machines()) >= 200 })
			for _, name := range names {
				c.restartAs(false, name)
				time.Sleep(2 * time.Second)
			}
			c.untilNewFormatUsed(time.Minute)
			c.env.Store.LowerLimits(dep.State.StricterLimits())
			c.env.Store.LimitRequests(dep.State.RPS)
			l.pollInBackground()
			for range 5 {
				l.submitPipelines(4)
				l.submitArrays(2)
				first := l.rng.IntN(failureKinds)
				second := (first + 1 + l.rng.IntN(failureKinds-1)) % failureKinds
				endFirst := l.startFailure(first)
				time.Sleep(time.Duration(l.rng.IntN(5000)) * time.Millisecond)
				endSecond := l.startFailure(second)
				time.Sleep(time.Duration(10+l.rng.IntN(35)) * time.Second)
				endFirst()
				endSecond()
				time.Sleep(time.Duration(l.rng.IntN(10)) * time.Second)
			}
			time.Sleep(30 * time.Second)
			c.env.EndFaults()
			mustFinish := slices.DeleteFunc(l.mustFinishJobs(), func(jobID protocol.JobID) bool { return !c.env.MayFinish(jobID) })
			c.expectStatusAnswers(mustFinish...)
			c.untilDone(10*time.Minute, mustFinish...)
			for _, jobID := range l.mustFinishJobs() {
				if phase := c.phase(jobID); phase != protocol.PhaseDone && phase != protocol.PhaseCancelled {
					t.Errorf("%s is %s at the end, want done or cancelled", jobID, phase)
				}
			}
		})
	}
}
