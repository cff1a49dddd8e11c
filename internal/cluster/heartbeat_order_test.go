package cluster

import (
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

// A late copy of a report proves nothing: it does not count as heard, at no age,
// and does not make the worker's newest report look old. Only a worker that
// began anew can show a token that was sent in answer to a report that looks old.
func TestLateCopyOfHeartbeatProvesNothing(t *testing.T) {
	machine, placement, now := machineWithStart(t)
	machine.RecordCommandOutcome(true, true)
	running := protocol.TaskStatus{Task: "req-1/0", Attempt: 1, State: protocol.TaskRunning}
	accept := func(heartbeat *protocol.Heartbeat) bool {
		t.Helper()
		if !machine.AcceptHeartbeat(heartbeat) && !machine.DetectRestart(heartbeat) {
			return false
		}
		machine.ApplyStatus(heartbeat, parseTask, now, now.Add(leaseDuration))
		machine.RecordAnswer()
		return true
	}
	for sequence := uint64(2); sequence < 6; sequence++ {
		if !accept(newHeartbeat(1, sequence, firstToken+1, running)) {
			t.Fatal("a new heartbeat was taken for a copy")
		}
	}
	for _, sequence := range []uint64{1, 3, 5, 5, 2} {
		if accept(newHeartbeat(1, sequence, firstToken+1)) {
			t.Errorf("a copy of heartbeat %d was accepted", sequence)
		}
	}
	if len(machine.Placements) != 1 || placement.State != protocol.TaskRunning {
		t.Error("a copy of a heartbeat released a placement")
	}
	if !accept(newHeartbeat(1, 6, machine.IssuedToken, running)) {
		t.Error("the newest heartbeat was rejected after copies")
	}
	// Copies of what it said since it has seen the token prove nothing either.
	if accept(newHeartbeat(1, 6, machine.IssuedToken, running)) || accept(newHeartbeat(1, 4, firstToken+1)) {
		t.Error("a copy was accepted")
	}
	// It began anew: first nothing is believed, then the token proves it.
	if accept(newHeartbeat(1, 1, 0)) {
		t.Error("a heartbeat without proof of a restart was accepted")
	}
	ended, _ := []EndedPlacement(nil), false
	heartbeat := newHeartbeat(1, 2, machine.IssuedToken)
	if machine.AcceptHeartbeat(heartbeat) || !machine.DetectRestart(heartbeat) {
		t.Fatal("a restarted agent was not detected")
	}
	if ended, _ = machine.ApplyStatus(heartbeat, parseTask, now, now.Add(leaseDuration)); len(ended) != 1 {
		t.Error("the placements of the former life did not end")
	}
	if machine.Schedulable(now, time.Minute) {
		t.Error("schedulable before the agent refuses the commands of its former life")
	}
}
