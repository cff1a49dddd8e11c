package cluster

import (
	"testing"
	"time"
)

// An agent that answers commands but sends no heartbeats is given no new work: its lease is
// renewed by replies to heartbeats only.
func TestAnsweredCommandsDoNotReplaceHeartbeats(t *testing.T) {
	machine, _, now := machineWithStart(t)
	machine.RecordCommandOutcome(false, true)
	if !machine.Schedulable(now, time.Minute) {
		t.Fatal("not schedulable although all is well")
	}
	later := now.Add(2 * time.Minute)
	machine.ApplyStatus(newHeartbeat(1, 2, firstToken), parseTask, later, later.Add(leaseDuration))
	if machine.Schedulable(later, time.Minute) {
		t.Error("schedulable without heartbeats")
	}
	machine.LastHeartbeat = later
	if !machine.Schedulable(later, time.Minute) {
		t.Error("not schedulable although heartbeats arrive again")
	}
}

// Unanswered commands are counted in a row; an answer or a status ends the row.
func TestUnansweredCommandsAreCountedInARow(t *testing.T) {
	machine, _, now := machineWithStart(t)
	machine.RecordCommandOutcome(false, false)
	machine.RecordCommandOutcome(false, false)
	if machine.UnansweredCommands != 2 {
		t.Errorf("%d commands unanswered, not 2", machine.UnansweredCommands)
	}
	machine.RecordCommandOutcome(false, true)
	if machine.UnansweredCommands != 0 {
		t.Error("an answer did not end the row")
	}
	machine.RecordCommandOutcome(false, false)
	machine.ApplyStatus(newHeartbeat(1, 2, firstToken), parseTask, now, now.Add(leaseDuration))
	if machine.UnansweredCommands != 0 {
		t.Error("a status did not end the row")
	}
}
