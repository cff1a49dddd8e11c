package cluster

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

func parseTask(name string) (TaskKey, bool) {
	jobID, number, found := strings.Cut(name, "/")
	task, _ := strconv.Atoi(number)
	return TaskKey{protocol.JobID(jobID), task}, found
}

const leaseDuration = 12 * time.Second

const firstToken = protocol.FencingToken(3) << tuning.TermShift

func newHeartbeat(incarnation protocol.Incarnation, sequence uint64, token protocol.FencingToken, tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	return &protocol.Heartbeat{Machine: "m-1", Incarnation: incarnation, Sequence: sequence, Token: token, Tasks: tasks}
}

// machineWithStart makes a machine with one placement whose start is under way.
func machineWithStart(t *testing.T) (*Machine, *Placement, time.Time) {
	now := time.Now()
	machine := NewMachine("m-1", firstToken, now, now.Add(time.Hour))
	machine.ApplyStatus(newHeartbeat(1, 1, firstToken), parseTask, now, now.Add(leaseDuration))
	placement := &Placement{TaskKey: TaskKey{"req-1", 0}, Attempt: 1, Incarnation: 1, Machine: machine, Recorded: true}
	machine.Placements[placement.TaskKey] = placement
	machine.CommandInFlight = true
	machine.RecordStart(placement)
	return machine, placement, now
}

// A placement is released on proof only; each step lacks it but the last.
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

// An attempt is not reaped while a copy of its start could run it again.
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

// The lease of a session counts from its beginning, not from the last answer
// to a report of the session before.
func TestLeaseOfNewIncarnationCountsFromItsBeginning(t *testing.T) {
	machine, _, now := machineWithStart(t)
	machine.LeaseExpiry = now.Add(time.Second)
	machine.RecordCommandOutcome(true, true)
	machine.ApplyStatus(newHeartbeat(2, 2, firstToken+1), parseTask, now, now.Add(leaseDuration))
	placement := &Placement{TaskKey: TaskKey{"req-1", 0}, Attempt: 2, Incarnation: 2, Machine: machine, Recorded: true}
	machine.Placements[placement.TaskKey] = placement
	if ended := machine.ExpireLease(now.Add(2 * time.Second)); len(ended) > 0 {
		t.Error("an incarnation ended before its lease expired")
	}
	if ended := machine.ExpireLease(now.Add(leaseDuration + time.Second)); len(ended) == 0 {
		t.Error("an incarnation without replies lasts beyond its lease")
	}
}

func TestNewIncarnationOrExpiredLeaseEndsPlacements(t *testing.T) {
	machine, placement, now := machineWithStart(t)
	if ended := machine.ExpireLease(now); len(ended) > 0 {
		t.Error("placements ended before the lease expired")
	}
	if ended, _ := machine.ApplyStatus(newHeartbeat(2, 2, firstToken), parseTask, now, now.Add(leaseDuration)); len(ended) != 1 || ended[0].Placement != placement {
		t.Error("a new incarnation did not end the placement")
	}
	machine, placement, _ = machineWithStart(t)
	after := machine.LeaseExpiry.Add(time.Millisecond)
	if ended := machine.ExpireLease(after); len(ended) != 1 || ended[0].Placement != placement {
		t.Error("an expired lease did not end the placement")
	}
	machine.RecordCommandOutcome(true, true)
	if _, fresh := machine.ApplyStatus(newHeartbeat(1, 9, firstToken), parseTask, after, after.Add(leaseDuration)); fresh || machine.Schedulable(after, time.Minute) {
		t.Error("a status of an expired incarnation was applied")
	}
}

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

// That a worker's reports come does not show that it hears: one that never shows
// the token it was answered with is deaf, one that does now and then is not.
func TestOneWayPartition(t *testing.T) {
	machine, _, now := machineWithStart(t)
	machine.RecordCommandOutcome(true, true)
	for sequence := uint64(2); sequence < 10; sequence++ {
		if sequence >= 2+1+tuning.OneWayPartitionHeartbeats && !machine.OneWayPartitioned() {
			t.Errorf("no one-way partition at heartbeat %d", sequence)
		}
		heartbeat := newHeartbeat(1, sequence, firstToken)
		machine.AcceptHeartbeat(heartbeat)
		machine.ApplyStatus(heartbeat, parseTask, now, now.Add(leaseDuration))
		machine.RecordAnswer()
	}
	if machine.Schedulable(now, time.Minute) {
		t.Error("schedulable during a one-way partition")
	}
	heartbeat := newHeartbeat(1, 10, machine.IssuedToken)
	machine.AcceptHeartbeat(heartbeat)
	machine.ApplyStatus(heartbeat, parseTask, now, now.Add(leaseDuration))
	if machine.OneWayPartitioned() {
		t.Error("one-way partition although the token was acknowledged")
	}
	// A lease lost although reports were answered is the same sign.
	machine.ApplyStatus(newHeartbeat(2, 11, machine.IssuedToken), parseTask, now, now.Add(leaseDuration))
	if machine.Schedulable(now, time.Minute) {
		t.Error("schedulable before the new token was acknowledged")
	}
}
