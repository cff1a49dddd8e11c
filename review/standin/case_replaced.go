//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
)

// Sizes and times of the case replacedLeader. The site files let controllers stand still for
// up to 37 s and cut them for up to 65 s.
const (
	replacedReplicas = 8 // two on each of four machines
	replacedFreeze   = 36 * time.Second
	replacedCut      = 40 * time.Second // begins together with the freeze
	replacedAfter    = 10 * time.Second
)

// savekeep returns settings like those of the Savekeep deployment, with one machine type of
// its site file that boots within two seconds. The cloud has the given number of machines in
// each zone.
func savekeep(hsinchu, banqiao int) settings {
	return settings{
		zones:   []string{"hsinchu", "banqiao"},
		teams:   []config.Team{{Name: "vaultkeepers-00", GuaranteedCores: 43, CoresMax: 160, GuaranteedGPUs: 8, GPUsMax: 24}},
		workers: config.Workers{ReportS: 2.5, LeaseS: 12, GangWaitS: 35, GangPeerS: 4, CancelS: 37},
		state:   config.StateLimits{RPS: 250, WriteRPS: 25, ValueKB: 32, TxnOps: 20},
		types: []protocol.MachineType{{Name: "bantam", Cores: 4, MemGB: 16, CacheGB: 70, FetchGBps: 0.5, Price: 0.23, SpotPrice: 0.06,
			BootS: 30, Zones: []string{"hsinchu", "banqiao"}}},
		capacity: map[string]int{"hsinchu": hsinchu, "banqiao": banqiao},
		bootS:    func(int) float64 { return 1.5 },
	}
}

// service returns a service of the class savesync.
func service(number, tasks int, cores float64) protocol.Job {
	return protocol.Job{ID: protocol.JobID(fmt.Sprintf("req-%06d", number)), Class: "savesync", Team: "vaultkeepers-00", Kind: protocol.KindService,
		Priority: protocol.PriorityProduction, Tasks: tasks, Cores: cores, MemGB: 2, Image: "img-01", ImageGB: 0.5}
}

// replacedLeader: a service runs on four machines. The leader stands still, is cut from the
// state service and the other controllers meanwhile and a little longer, and another
// controller leads. The replaced leader must not return machines on which tasks of its
// successor run.
//
// The trouble begins before the cloud's list shows the machines, so that the workers find
// the new leader by themselves. A worker that hears of it by a direct command may first
// report the higher token to the silent leader, which then learns it when it goes on.
func replacedLeader(w *world) verdict {
	if err := w.start(savekeep(2, 2)); err != nil {
		return verdict{problem: err.Error()}
	}
	leader := w.awaitLeader(10 * time.Second)
	if leader == nil || !w.awaitHealthy(10*time.Second) {
		return verdict{problem: "no controller serves"}
	}
	violations := make(chan string, 1)
	w.cloud.onReturn(func(by *node, names []string) {
		if violation := w.returnByReplaced(by, names); violation != "" {
			select {
			case violations <- violation:
			default:
			}
		}
	})
	j := w.newJob(service(200, replacedReplicas, 2), 0)
	j.spec.Spread = true
	if !w.submit(j) {
		return verdict{problem: "a job was not accepted"}
	}
	if !w.await(20*time.Second, func() bool { return w.replicas(j) == replacedReplicas }) {
		return verdict{problem: "not all replicas run"}
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		if err := w.standStillAndCut(leader); err != nil {
			return verdict{problem: err.Error()}
		}
	} else {
		time.Sleep(replacedCut)
	}
	time.Sleep(replacedAfter)
	w.rec.add("check", "%d of %d replicas run", w.replicas(j), replacedReplicas)
	select {
	case violation := <-violations:
		return verdict{violation: violation}
	default:
		return verdict{}
	}
}

// standStillAndCut stops a controller and cuts it from the state service and the other
// controllers, lets it go on, and ends the cut.
func (w *world) standStillAndCut(n *node) error {
	w.rec.add("trouble", "%s stands still, cut from the state service and the other controllers", n.name)
	if err := n.process.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	if err := w.cutFromOthers(n, true); err != nil {
		return err
	}
	time.Sleep(replacedFreeze)
	w.rec.add("trouble", "%s goes on", n.name)
	if err := n.process.Process.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	time.Sleep(replacedCut - replacedFreeze)
	w.rec.add("trouble", "%s reaches everybody again", n.name)
	return w.cutFromOthers(n, false)
}

// cutFromOthers cuts a controller from the state service, which becomes silent, and from the
// other controllers, whose connections are refused, or ends the cut.
func (w *world) cutFromOthers(n *node, cut bool) error {
	n.state.set(cut)
	for _, from := range w.nodes {
		for _, proxy := range from.peerProxies {
			if from != n && proxy.target != n.peerAddr {
				continue
			}
			if err := proxy.refuse(cut); err != nil {
				return err
			}
		}
	}
	return nil
}

// returnByReplaced says which tasks a return of machines ends although its sender was
// replaced: the sender led before, and the workers on these machines have accepted a higher
// token than any that a worker accepted from the sender. It returns "" if there is none.
func (w *world) returnByReplaced(by *node, names []string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	machines, tasks := 0, 0
	for _, name := range names {
		k := w.workers[name]
		if k == nil || w.highest[by] == 0 || k.baton <= w.highest[by] || len(k.onMachine()) == 0 {
			continue
		}
		machines++
		tasks += len(k.onMachine())
	}
	if machines == 0 {
		return ""
	}
	return fmt.Sprintf("%s returned %d machines with %d running tasks, whose workers had accepted a higher token than any of its own", by.name, machines, tasks)
}

// replicas counts the tasks of jobs that run.
func (w *world) replicas(jobs ...*job) (count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		for _, t := range k.onMachine() {
			for _, j := range jobs {
				if t.job == j {
					count++
				}
			}
		}
	}
	return count
}

// await waits until a condition holds, and reports whether it does within the limit.
func (w *world) await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
