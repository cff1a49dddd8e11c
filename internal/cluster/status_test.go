package cluster

import (
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

// A placement ends on proof only: every status but the last one lacks the proof.
func TestPlacementIsReleasedOnProofOnly(t *testing.T) {
	machine, placement, now := machineWithStart(t)
	expect := func(situation string, status *protocol.Heartbeat, over bool) {
		t.Helper()
		ended, _ := machine.ApplyStatus(status, parseTask, now, now.Add(leaseDuration))
		if (len(ended) == 1) != over {
			t.Errorf("%s: ended %v", situation, ended)
		}
	}
	expect("absent while the command is under way", newHeartbeat(1, 2, firstToken), false)
	machine.RecordCommandOutcome(true, false)
	if machine.Schedulable(now, time.Minute) {
		t.Error("schedulable while the outcome of a command is unknown")
	}
	expect("absent, but the start may run late", newHeartbeat(1, 3, firstToken), false)
	expect("an older status", newHeartbeat(1, 2, firstToken+1), false)
	expect("running", newHeartbeat(1, 4, firstToken, protocol.TaskStatus{Task: "req-1/0", Attempt: 1, State: protocol.TaskRunning}), false)
	if placement.State != protocol.TaskRunning {
		t.Error("the state of a reported task was not applied")
	}
	expect("another attempt of the task", newHeartbeat(1, 5, firstToken, protocol.TaskStatus{Task: "req-1/0", Attempt: 2, State: protocol.TaskRunning}), false)
	if machine.UnknownTaskCount != 1 || len(machine.UnknownTasks()) != 1 || machine.UnknownTasks()[0].Attempt != 2 {
		t.Error("an attempt without a placement was not counted as unknown")
	}
	expect("absent after the higher token was acknowledged", newHeartbeat(1, 6, firstToken+1), true)
	if !machine.Schedulable(now, time.Minute) {
		t.Error("not schedulable although the outcomes of all commands are known")
	}
}
