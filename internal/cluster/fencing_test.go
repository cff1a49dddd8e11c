package cluster

import (
	"testing"
	"time"

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
		t.Fatalf("the status ended %v instead of the exited placement", ended)
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

// While a command is in flight an exited attempt is not released, whatever token the agent
// has acknowledged: the command may carry a start of the attempt.
func TestExitedAttemptIsNotReleasedWhileCommandIsInFlight(t *testing.T) {
	machine, placement, now := machineWithStart(t)
	machine.ApplyStatus(newHeartbeat(1, 2, firstToken+1), parseTask, now, now.Add(leaseDuration))
	if machine.MayRelease(placement.TaskKey, 1) {
		t.Error("released while a command is in flight")
	}
	machine.RecordCommandOutcome(true, true)
	if !machine.MayRelease(placement.TaskKey, 1) {
		t.Error("not released although the start is refused and no command is in flight")
	}
}

// An attempt that an earlier leader started has no known start token. The first token of
// the current term makes the agent refuse the starts of all earlier terms.
func TestAttemptOfEarlierLeaderIsReleasedAfterFirstTokenOfTerm(t *testing.T) {
	now := time.Now()
	machine := NewMachine("m-1", firstToken, now, now.Add(time.Hour))
	exited := protocol.TaskStatus{Task: "req-1/0", Attempt: 1, State: protocol.TaskExited, ExitReason: protocol.ExitDone}
	machine.ApplyStatus(newHeartbeat(1, 1, firstToken-1, exited), parseTask, now, now.Add(leaseDuration))
	if machine.MayRelease(TaskKey{"req-1", 0}, 1) {
		t.Error("released while a start of an earlier leader would be executed")
	}
	machine.ApplyStatus(newHeartbeat(1, 2, firstToken, exited), parseTask, now, now.Add(leaseDuration))
	if !machine.MayRelease(TaskKey{"req-1", 0}, 1) {
		t.Error("not released although starts of earlier leaders are refused")
	}
}

// Which tokens are issued and required after a command depends on whether the command
// carried starts and whether it was answered.
func TestTokensAfterCommand(t *testing.T) {
	for _, test := range []struct {
		name             string
		hadStarts, known bool
		issued, required protocol.FencingToken
	}{
		{"answered, without starts", false, true, firstToken, firstToken},
		{"answered, with starts", true, true, firstToken + 1, firstToken},
		{"unanswered, without starts", false, false, firstToken + 1, firstToken + 1},
		{"unanswered, with starts", true, false, firstToken + 1, firstToken + 1},
	} {
		machine, _, _ := machineWithStart(t)
		machine.RecordCommandOutcome(test.hadStarts, test.known)
		if machine.CommandInFlight || machine.IssuedToken != test.issued || machine.RequiredToken != test.required {
			t.Errorf("%s: in flight %v, issued %d, required %d", test.name, machine.CommandInFlight, machine.IssuedToken, machine.RequiredToken)
		}
	}
}

// The token of a start is kept exactly as long as the attempt is placed or listed.
func TestStartTokenIsKeptWhileAttemptIsPlacedOrListed(t *testing.T) {
	machine, placement, now := machineWithStart(t)
	machine.RecordCommandOutcome(true, true)
	machine.ApplyStatus(newHeartbeat(1, 2, firstToken), parseTask, now, now.Add(leaseDuration))
	if len(machine.startTokens) != 1 {
		t.Error("the start token of a placement was deleted")
	}
	exited := protocol.TaskStatus{Task: "req-1/0", Attempt: 1, State: protocol.TaskExited, ExitReason: protocol.ExitDone}
	machine.ApplyStatus(newHeartbeat(1, 3, firstToken, exited), parseTask, now, now.Add(leaseDuration))
	machine.RemovePlacement(placement, now)
	machine.ApplyStatus(newHeartbeat(1, 4, firstToken, exited), parseTask, now, now.Add(leaseDuration))
	if len(machine.startTokens) != 1 {
		t.Error("the start token of a listed attempt was deleted")
	}
	machine.ApplyStatus(newHeartbeat(1, 5, firstToken), parseTask, now, now.Add(leaseDuration))
	if len(machine.startTokens) != 0 {
		t.Error("the start token of an attempt that is neither placed nor listed was kept")
	}
}
