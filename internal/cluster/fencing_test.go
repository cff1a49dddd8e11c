package cluster

import (
	"testing"

	"marblehaven/internal/protocol"
)

// An agent must not forget an exited attempt while a copy of its start could run the
// attempt again.
func TestExitedAttemptIsNotReleasedWhileStartMayArrive(t *testing.T) {
	machine, placement, now := machineWithStart(t)
	machine.RecordCommandOutcome(true, true)
	done := protocol.TaskStatus{Task: "req-1/0", Attempt: 1, State: protocol.TaskExited, ExitReason: protocol.ExitDone}
	ended, _ := machine.ApplyStatus(newHeartbeat(1, 2, firstToken, done), parseTask, now, now.Add(leaseDuration))
	if len(ended) != 1 || ended[0].ExitReason != protocol.ExitDone {
		t.Fatalf("ended %v", ended)
	}
	machine.RemovePlacement(placement, now)
	if machine.MayRelease(placement.TaskKey, 1) {
		t.Error("released while a copy of the start would be executed")
	}
	machine.ApplyStatus(newHeartbeat(1, 3, firstToken+1, done), parseTask, now, now.Add(leaseDuration))
	if !machine.MayRelease(placement.TaskKey, 1) {
		t.Error("not released although copies of the start are refused")
	}
}
