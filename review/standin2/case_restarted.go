//go:build review2

package main

import (
	"errors"
	"time"

	"marblehaven/internal/protocol"
)

// oneMachine returns the Savekeep deployment while the cloud has a single machine left.
func oneMachine() site {
	s := savekeep()
	s.capacity = map[string]int{"teapot/hsinchu": 1}
	s.bootS = 0.7
	return s
}

// restarted lets a machine that has lost its lease before restart together with the leader, and
// looks whether the task that was on the machine is started again.
func restarted(w *world, trouble bool) (bool, error) {
	first := protocol.Job{ID: "req-000398", Class: "invaudit", Team: "vaultkeepers-00", Kind: protocol.KindArray, Priority: protocol.PriorityStandard,
		Tasks: 1, Cores: 4, MemGB: 12, Image: "img-07", ImageGB: 0.1, EstimateS: 40}
	if !w.submit(first, 0.2) || !w.await(15*time.Second, func() bool { return w.finished(first.ID) }) {
		return false, errors.New("the first job is not done")
	}
	m := w.anyMachine()
	if trouble {
		w.setMute(m, true)
		if !w.await(20*time.Second, func() bool { return w.tenureOf(m) == 2 }) {
			return false, errors.New("the machine keeps its lease")
		}
		w.setMute(m, false)
	}
	second := first
	second.ID = "req-000412"
	if !w.submit(second, 20) || !w.await(20*time.Second, func() bool { return w.running(second.ID) == 1 }) {
		return false, errors.New("the second job does not run")
	}
	if trouble {
		leader := w.leader()
		w.kill(leader)
		w.mu.Lock()
		m.restart()
		w.mu.Unlock()
		time.Sleep(5 * time.Second)
		if err := w.startController(leader); err != nil {
			return false, err
		}
	}
	watch := newWaitingWatch()
	for start := time.Now(); time.Since(start) < longestWait+time.Second && !w.finished(second.ID); time.Sleep(100 * time.Millisecond) {
		if broken := watch.look(w); broken != "" {
			w.poll(second.ID)
			w.record.add("BROKEN: %s", broken)
			return true, nil
		}
	}
	if !w.finished(second.ID) {
		return false, errors.New("the second job is neither done nor left waiting")
	}
	return false, nil
}

// anyMachine returns the machine, of which there is one.
func (w *world) anyMachine() *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		return m
	}
	return nil
}

// setMute cuts the way of a machine's reports, or opens it again.
func (w *world) setMute(m *machine, mute bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m.mute = mute
	w.record.add("network of machine %s lost: %v", m.id, mute)
}

func (w *world) tenureOf(m *machine) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return m.tenure
}

// finished reports whether all tasks of a job have completed.
func (w *world) finished(id protocol.JobID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[string(id)]
	return len(j.done) == j.spec.Tasks
}
