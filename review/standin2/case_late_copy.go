//go:build review2

package main

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"marblehaven/internal/protocol"
)

// threeMachines returns the Savekeep deployment while the cloud has three machines left.
func threeMachines() site {
	s := savekeep()
	s.capacity = map[string]int{"bantam/hsinchu": 3}
	return s
}

// copyDelay is how much later than the report a copy of it arrives.
const copyDelay = 16 * time.Second

// lateCopy lets a machine restart, waits until tasks run on it again, and then lets a copy of a
// report from before the restart arrive, and looks whether a task of the machine is started on
// another one.
func lateCopy(w *world, trouble bool) (bool, error) {
	first := protocol.Job{ID: "req-000398", Class: "invaudit", Team: "vaultkeepers-00", Kind: protocol.KindArray, Priority: protocol.PriorityStandard,
		Tasks: 40, Cores: 2, MemGB: 6, Image: "img-07", ImageGB: 0.1, EstimateS: 40}
	if !w.submit(first, 2) || !w.await(50*time.Second, func() bool { return w.finished(first.ID) }) {
		return false, errors.New("the first job is not done")
	}
	m := w.firstMachine()
	time.Sleep(time.Second)
	w.mu.Lock()
	report, sentAt := m.lastSent.report, m.lastSent.at
	if trouble {
		m.restart()
	}
	w.mu.Unlock()
	time.Sleep(9 * time.Second)
	second := first
	second.ID, second.Image, second.Tasks = "req-000412", "img-08", 3
	if !w.submit(second, 40) || !w.await(20*time.Second, func() bool { return w.running(second.ID) == 3 }) {
		return false, errors.New("the second job does not run")
	}
	if w.tasksOn(m) == 0 {
		return false, errors.New("no task runs on the machine that restarted")
	}
	time.Sleep(time.Until(sentAt.Add(copyDelay)))
	if trouble {
		leader := w.leader()
		status := call(w.client, http.MethodPost, "http://"+leader.api+"/hello", report, nil, reportTimeout)
		w.record.add("network: a copy of the report of %s with tenure %d, tick %d, %.1f s late, arrives at %s: %d",
			m.id, report.Incarnation, report.Sequence, time.Since(sentAt).Seconds(), leader.name, status)
	}
	time.Sleep(15 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, twice := range w.twice {
		w.record.add("BROKEN: %s", twice)
	}
	return len(w.twice) > 0, nil
}

// firstMachine returns the machine with the first name.
func (w *world) firstMachine() *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for name := range w.machines {
		names = append(names, name)
	}
	return w.machines[slices.Min(names)]
}

// tasksOn returns how many tasks are on a machine.
func (w *world) tasksOn(m *machine) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, t := range m.tasks {
		if t.onMachine() {
			count++
		}
	}
	return count
}
