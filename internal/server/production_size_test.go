package server

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

// load is what users submit at production size, and what they cancel.
type load struct {
	*testCluster
	rng       *rand.Rand
	jobs      int
	pipelines int
	keptMu    sync.Mutex
	kept      []protocol.JobID // must be done in the end, unless one that they need is cancelled; guarded by keptMu
}

// keep adds jobs that must be done in the end.
func (l *load) keep(jobIDs ...protocol.JobID) {
	l.keptMu.Lock()
	defer l.keptMu.Unlock()
	l.kept = append(l.kept, jobIDs...)
}

// keptJobs returns the jobs that must be done in the end.
func (l *load) keptJobs() []protocol.JobID {
	l.keptMu.Lock()
	defer l.keptMu.Unlock()
	return slices.Clone(l.kept)
}

// arrays submits large arrays of both teams.
func (l *load) arrays(count int) {
	for range count {
		l.jobs++
		job := arrayJob(l.jobs, "check", 60+l.rng.IntN(60))
		job.Team, job.EstimateS = []string{"red", "blue"}[l.jobs%2], 60
		l.submit(job, 40)
		l.keep(job.ID)
	}
}

// chains submits pipelines, and cancels one job in every second of them some time later.
func (l *load) chains(count int) {
	for range count {
		l.pipelines++
		jobIDs := l.pipeline(10000 + 10*l.pipelines)
		l.keep(jobIDs...)
		if l.pipelines%2 == 0 {
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

// ask lets users ask about jobs as long as the scenario lasts.
func (l *load) ask() {
	go func() {
		for l.ctx.Err() == nil {
			kept := l.keptJobs()
			jobID := kept[int(l.env.Random()*float64(len(kept)))]
			go l.env.Poll(jobID)
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

// some picks a share of the machines.
func (l *load) some(share float64) []string {
	return slices.DeleteFunc(l.env.Machines(), func(string) bool { return l.env.Random() >= share })
}

// trouble begins one of the troubles that the operators expect, and returns what ends it.
func (l *load) trouble(kind int) (over func()) {
	var ends []func()
	leader := l.leader()
	switch kind {
	case 0: // answers are lost, transactions are throttled and refused
		l.env.Store.SetFault(l.faultyCommits())
		ends = append(ends, func() { l.env.Store.SetFault(nil) })
	case 1: // transactions are carried out late
		l.env.Store.SetLate(l.lateCommits(0.15))
		ends = append(ends, func() { l.env.Store.SetLate(nil) })
	case 2: // the leader is refused, and then everybody, while users cancel
		l.env.Store.Refuse(leader, true)
		l.chains(2)
		time.Sleep(time.Second)
		l.env.Store.Refuse("", true)
		ends = append(ends, func() {
			l.env.Store.Refuse("", false)
			l.env.Store.Refuse(leader, false)
		})
	case 3: // the leader keeps its agents and users only
		if leader != "" {
			ends = append(ends, l.isolateFromStoreAndPeers(leader))
		}
	case 4: // machines reach no controller, others hear none
		for _, m := range l.some(0.1) {
			ends = append(ends, l.network.BlockOutbound(m))
		}
		for _, m := range l.some(0.1) {
			ends = append(ends, l.network.DropInbound(m))
		}
	case 5: // machines hang, and some die
		for _, m := range l.some(0.05) {
			ends = append(ends, l.env.Hang(m))
		}
		for _, m := range l.some(0.05) {
			l.env.Kill(m)
		}
	case 6: // leaders end one after another, and are back at once
		for range 3 {
			if old := l.killLeader(); old != "" {
				l.boot(old)
			}
			time.Sleep(3 * time.Second)
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// At production size: hundreds of machines, lists of several pages, run records in
// segments and chains of jobs, through an upgrade, the smaller limits that follow, and all
// kinds of trouble in pairs. The fakes judge it.
func TestProductionSize(t *testing.T) {
	t.Parallel()
	const kinds = 7
	for seed := range seedCount(1) {
		names, dep := productionSize()
		runUpgradeIn(t, 810+seed, names, dep, func(c *testCluster) {
			l := &load{testCluster: c, rng: rand.New(rand.NewPCG(seed, 13))}
			c.network.SetRepeat(map[string]time.Duration{"/hello": 40 * time.Second, "/do": 20 * time.Second, "/commit": 20 * time.Second})
			c.env.Store.SetMaxPageSize(40)
			c.env.SetCloudMaxPageSize(70)
			l.arrays(12)
			c.until("hundreds run", 3*time.Minute, func() bool { return len(c.env.Machines()) >= 200 })
			for _, name := range names {
				c.restartAs(false, name)
				time.Sleep(2 * time.Second)
			}
			c.untilUpgraded(time.Minute)
			c.env.Store.Limit(dep.State.Smaller())
			c.env.Store.LimitRequests(dep.State.RPS)
			l.ask()
			for range 5 {
				l.chains(4)
				l.arrays(2)
				first := l.rng.IntN(kinds)
				second := (first + 1 + l.rng.IntN(kinds-1)) % kinds
				endFirst := l.trouble(first)
				time.Sleep(time.Duration(l.rng.IntN(5000)) * time.Millisecond)
				endSecond := l.trouble(second)
				time.Sleep(time.Duration(10+l.rng.IntN(35)) * time.Second)
				endFirst()
				endSecond()
				time.Sleep(time.Duration(l.rng.IntN(10)) * time.Second)
			}
			time.Sleep(30 * time.Second)
			c.env.EndTroubles()
			kept := slices.DeleteFunc(l.keptJobs(), func(jobID protocol.JobID) bool { return !c.env.MayFinish(jobID) })
			c.expectAnswers(kept...)
			c.untilDone(10*time.Minute, kept...)
			for _, jobID := range l.keptJobs() {
				if got := c.phase(jobID); got != protocol.PhaseDone && got != protocol.PhaseCancelled {
					t.Errorf("%s is %s in the end", jobID, got)
				}
			}
		})
	}
}
