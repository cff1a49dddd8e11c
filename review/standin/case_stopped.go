//go:build review

package main

import (
	"fmt"
	"slices"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
)

// Sizes of the case stoppedMachine.
const (
	stoppedJobs  = 52
	stoppedTasks = 30 // of a job, half of them in each zone
	boundTasks   = 10 // of the job that is bound to one zone
	settledAfter = 10 * time.Second
)

// stoppedMachine: arrays that spread over two zones run on one machine in each, and an array
// that is bound to one zone runs there. The machine of that zone stops with all that is on
// it, and another comes up in its place. Then the bound array has to begin again there.
func stoppedMachine(w *world) verdict {
	err := w.start(settings{
		zones:   []string{"zamalek"},
		teams:   []config.Team{{Name: "studiotech"}},
		workers: config.Workers{ReportS: 3, LeaseS: 26, GangWaitS: 35, GangPeerS: 5, CancelS: 46},
		state:   config.StateLimits{RPS: 250, WriteRPS: 80, ValueKB: 32, TxnOps: 48},
		types: []protocol.MachineType{{Name: "tar", Cores: 96, MemGB: 768, CacheGB: 200, FetchGBps: 1, Price: 5.4, SpotPrice: 1.9,
			BootS: 50, Zones: []string{"zamalek", "heliopolis"}}},
		capacity: map[string]int{"zamalek": 1, "heliopolis": 2},
		bootS:    func(int) float64 { return 1.5 },
	})
	if err != nil {
		return verdict{problem: err.Error()}
	}
	if w.awaitLeader(10*time.Second) == nil || !w.awaitHealthy(10*time.Second) {
		return verdict{problem: "no controller serves"}
	}
	jobs, problem := w.fillTwoZones()
	if problem != "" {
		return verdict{problem: problem}
	}
	if w.trouble {
		if problem := w.stopMachineIn("heliopolis"); problem != "" {
			return verdict{problem: problem}
		}
	}
	bound := jobs[stoppedJobs]
	watch := newWaitWatch(w)
	var lastPoll time.Time
	for start := time.Now(); ; time.Sleep(250 * time.Millisecond) {
		_, violation := watch.check()
		running := w.replicas(jobs...)
		if violation != "" {
			return verdict{violation: violation}
		}
		if running == stoppedJobs*stoppedTasks+boundTasks && time.Since(start) > settledAfter {
			return verdict{}
		}
		if time.Since(lastPoll) > 5*time.Second {
			lastPoll = time.Now()
			w.rec.add("check", "%d tasks run, %d of the bound job", running, w.replicas(bound))
			go w.poll(bound)
		}
	}
}

// spreadArray returns an array of the class uploadcheck that spreads over zones.
func spreadArray(number, tasks int) protocol.Job {
	return protocol.Job{ID: protocol.JobID(fmt.Sprintf("req-%06d", number)), Class: "uploadcheck", Team: "studiotech", Kind: protocol.KindArray,
		Priority: protocol.PriorityStandard, Tasks: tasks, Cores: 0.1, MemGB: 0.5, Image: "img-01", ImageGB: 1, Spread: true, EstimateS: 300, DeadlineS: 300}
}

// fillTwoZones submits the arrays, the bound one last, and waits until all of their tasks
// run.
func (w *world) fillTwoZones() (jobs []*job, problem string) {
	accepted := make(chan bool, stoppedJobs+1)
	for i := range stoppedJobs + 1 {
		j := w.newJob(spreadArray(100+i, stoppedTasks), 300)
		if i == stoppedJobs {
			j.spec.Tasks, j.spec.Spread, j.spec.Zone = boundTasks, false, "heliopolis"
		}
		jobs = append(jobs, j)
		go func() { accepted <- w.submit(j) }()
		if i == 0 && !w.await(20*time.Second, func() bool { return w.replicas(j) == stoppedTasks }) {
			return nil, "the first job does not run"
		}
		time.Sleep(30 * time.Millisecond)
	}
	for range jobs {
		if !<-accepted {
			return nil, "a job was not accepted"
		}
	}
	if !w.await(10*time.Second, func() bool { return w.replicas(jobs...) == stoppedJobs*stoppedTasks+boundTasks }) {
		return nil, "not all tasks run"
	}
	return jobs, ""
}

// stopMachineIn stops the machine in a zone, and waits until another is up there.
func (w *world) stopMachineIn(zone string) (problem string) {
	w.mu.Lock()
	var stopped *worker
	for _, k := range w.workers {
		if k.m.zone == zone {
			stopped = k
		}
	}
	w.mu.Unlock()
	w.rec.add("trouble", "%s stops", stopped.m.name)
	stopped.stop()
	if !w.await(40*time.Second, func() bool { return slices.Contains(w.zonesUp(), zone) }) {
		return "no other machine came up"
	}
	time.Sleep(time.Second)
	return ""
}

// zonesUp lists the zones of the machines that are up.
func (w *world) zonesUp() (zones []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		zones = append(zones, k.m.zone)
	}
	return zones
}

// begun counts the jobs of which a task has begun to run.
func (w *world) begun(jobs ...*job) (count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range jobs {
		if len(j.starts) > 0 {
			count++
		}
	}
	return count
}
