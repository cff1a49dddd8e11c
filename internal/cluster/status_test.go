package cluster

import (
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

// A placement ends on proof only: every status but the last one in this test lacks the
// proof.
func TestPlacementIsReleasedOnProofOnly(t *testing.T) {
	machine, placement, now := machineWithStart(t)
	expect := func(situation string, status *protocol.Heartbeat, wantEnded bool) {
		t.Helper()
		ended, _ := machine.ApplyStatus(status, parseTask, now, now.Add(leaseDuration))
		if (len(ended) == 1) != wantEnded {
			t.Errorf("%s: ended %v", situation, ended)
		}
	}
	expect("absent while the command is in flight", newHeartbeat(1, 2, firstToken), false)
	machine.RecordCommandOutcome(true, false)
	if machine.Schedulable(now, time.Minute) {
		t.Error("schedulable while the outcome of a command is unknown")
	}
	expect("absent, but the start may arrive late", newHeartbeat(1, 3, firstToken), false)
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

// A placement whose start was never sent does not end by its absence.
func TestAbsenceDoesNotEndUnsentPlacement(t *testing.T) {
	now := time.Now()
	machine := NewMachine("m-1", firstToken, now, now.Add(time.Hour))
	placement := &Placement{TaskKey: TaskKey{"req-1", 0}, Attempt: 1, Incarnation: 1, Machine: machine, Recorded: true}
	machine.Placements[placement.TaskKey] = placement
	if ended, _ := machine.ApplyStatus(newHeartbeat(1, 1, firstToken), parseTask, now, now.Add(leaseDuration)); len(ended) > 0 {
		t.Error("a placement ended before its start was sent")
	}
}

// A start by an earlier leader may arrive until the agent has acknowledged the first token
// of the current term; until then the absence of the task proves nothing.
func TestAbsenceEndsInheritedPlacementAfterFirstTokenOfTerm(t *testing.T) {
	now := time.Now()
	machine := NewMachine("m-1", firstToken, now, now.Add(time.Hour))
	placement := &Placement{TaskKey: TaskKey{"req-1", 0}, Attempt: 1, Incarnation: 1, Machine: machine,
		Recorded: true, Sent: true, StartToken: firstToken - 1}
	machine.Placements[placement.TaskKey] = placement
	if ended, _ := machine.ApplyStatus(newHeartbeat(1, 1, firstToken-1), parseTask, now, now.Add(leaseDuration)); len(ended) > 0 {
		t.Error("an inherited placement ended while its start would be executed")
	}
	if ended, _ := machine.ApplyStatus(newHeartbeat(1, 2, firstToken), parseTask, now, now.Add(leaseDuration)); len(ended) != 1 {
		t.Error("an inherited placement did not end although its start is refused")
	}
}

// An equal status is skipped only as long as no placement has changed: a task whose placement
// was removed is unknown from the next status on.
func TestEqualStatusIsAppliedAfterPlacementsChanged(t *testing.T) {
	machine, placement, now := machineWithStart(t)
	machine.RecordCommandOutcome(true, true)
	running := protocol.TaskStatus{Task: "req-1/0", Attempt: 1, State: protocol.TaskRunning}
	for sequence := uint64(2); sequence < 4; sequence++ {
		machine.ApplyStatus(newHeartbeat(1, sequence, firstToken+1, running), parseTask, now, now.Add(leaseDuration))
	}
	if machine.UnknownTaskCount != 0 {
		t.Fatal("a placed task was counted as unknown")
	}
	machine.RemovePlacement(placement, now)
	machine.ApplyStatus(newHeartbeat(1, 4, firstToken+1, running), parseTask, now, now.Add(leaseDuration))
	if machine.UnknownTaskCount != 1 || machine.Schedulable(now, time.Minute) {
		t.Error("a running task without a placement was not counted as unknown")
	}
}

// The end of a command in flight can turn absence into proof although the next status equals
// the one before.
func TestEqualStatusEndsPlacementAfterCommandInFlight(t *testing.T) {
	machine, _, now := machineWithStart(t)
	for sequence := uint64(2); sequence < 4; sequence++ {
		if ended, _ := machine.ApplyStatus(newHeartbeat(1, sequence, firstToken+1), parseTask, now, now.Add(leaseDuration)); len(ended) > 0 {
			t.Error("a placement ended while a command is in flight")
		}
	}
	machine.RecordCommandOutcome(true, true)
	if ended, _ := machine.ApplyStatus(newHeartbeat(1, 4, firstToken+1), parseTask, now, now.Add(leaseDuration)); len(ended) != 1 {
		t.Error("a placement did not end although its start is refused")
	}
}
