//go:build review

package main

import (
	"fmt"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
)

// Sizes of the case outageWhileBooting: jobs with their tasks, and machines that have room
// for all of them together.
const (
	outageJobs     = 240
	outageTasks    = 40
	outageMachines = 30               // each has room for the tasks of eight jobs
	outageLeast    = 29               // so many are rented before the trouble
	outageMax      = 25 * time.Second // as long as the longest outage in the site files
)

// outageWhileBooting: users submit 240 arrays while no machine is up. The state service is
// down while the machines boot, and serves again once all are up. Then every job has to
// begin: each fits, and there is room for all.
func outageWhileBooting(w *world) verdict {
	err := w.start(settings{
		zones:   []string{"zamalek"},
		teams:   []config.Team{{Name: "studiotech"}},
		workers: config.Workers{ReportS: 3, LeaseS: 26, GangWaitS: 35, GangPeerS: 5, CancelS: 46},
		state:   config.StateLimits{RPS: 250, WriteRPS: 80, ValueKB: 32, TxnOps: 48},
		types: []protocol.MachineType{{Name: "workhorse", Cores: 32, MemGB: 128, CacheGB: 70, FetchGBps: 1, Price: 2.19, SpotPrice: 0.73,
			BootS: 10, Zones: []string{"zamalek"}}},
		capacity: map[string]int{"zamalek": outageMachines},
		bootS:    func(n int) float64 { return 8 + 0.5*float64(n%8) }, // 0.8 to 1.15 times bootS
	})
	if err != nil {
		return verdict{problem: err.Error()}
	}
	if w.awaitLeader(10*time.Second) == nil || !w.awaitHealthy(10*time.Second) {
		return verdict{problem: "no controller serves"}
	}
	jobs, accepted := make([]*job, outageJobs), make(chan bool, outageJobs)
	for i := range jobs {
		jobs[i] = w.newJob(protocol.Job{ID: protocol.JobID(fmt.Sprintf("req-%06d", 100+i)), Class: "uploadcheck", Team: "studiotech",
			Kind: protocol.KindArray, Priority: protocol.PriorityStandard, Tasks: outageTasks, Cores: 0.1, MemGB: 0.3, Image: "img-01", ImageGB: 1,
			EstimateS: 120, DeadlineS: 180}, 120)
		go func() { accepted <- w.submit(jobs[i]) }()
		time.Sleep(30 * time.Millisecond)
	}
	for range jobs {
		if !<-accepted {
			return verdict{problem: "a job was not accepted"}
		}
	}
	if w.trouble {
		if problem := w.stateOutageUntilUp(); problem != "" {
			return verdict{problem: problem}
		}
	}
	watch := newWaitWatch(w)
	var lastPoll time.Time
	for ; ; time.Sleep(250 * time.Millisecond) {
		if _, violation := watch.check(); violation != "" {
			w.poll(jobs[len(jobs)-1])
			return verdict{violation: violation}
		}
		if begun := w.begun(jobs); begun == len(jobs) {
			w.rec.add("check", "all %d jobs have begun", begun)
			return verdict{}
		}
		if time.Since(lastPoll) > 5*time.Second {
			lastPoll = time.Now()
			w.rec.add("check", "%d of %d jobs have begun", w.begun(jobs), len(jobs))
			go w.poll(jobs[0])
			go w.poll(jobs[len(jobs)-1])
		}
	}
}

// stateOutageUntilUp takes the state service down and brings it back once all rented
// machines are up. It returns what went wrong, or "".
func (w *world) stateOutageUntilUp() string {
	if !w.await(5*time.Second, func() bool { return w.cloud.rented() >= outageLeast }) {
		return "too few machines were rented"
	}
	w.rec.add("trouble", "the state service is down")
	w.store.SetUnavailable("", true)
	start := time.Now()
	for w.machinesUp() < w.cloud.rented() {
		if time.Since(start) > outageMax {
			return "the machines were not up in time"
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	w.store.SetUnavailable("", false)
	w.rec.add("trouble", "the state service is back after %.1f s", time.Since(start).Seconds())
	return ""
}

func (w *world) machinesUp() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.workers)
}

// begun counts the jobs of which a task has begun to run.
func (w *world) begun(jobs []*job) (count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range jobs {
		if len(j.starts) > 0 {
			count++
		}
	}
	return count
}
