package cluster

import (
	"testing"
	"time"
)

// An agent that answers commands but sends no heartbeats gets no new work: only replies to
// heartbeats renew its lease.
func TestAnsweredCommandsDoNotReplaceHeartbeats(t *testing.T) {
	machine, _, now := machineWithStart(t)
	machine.RecordCommandOutcome(false, true)
	if !machine.Schedulable(now, time.Minute) {
		t.Fatal("not schedulable although the agent is in contact and all commands were answered")
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

// UnansweredCommands counts consecutive commands without an answer. An answer or an applied
// status resets the count.
func TestUnansweredCommandsAreCountedInARow(t *testing.T) {
	machine, _, now := machineWithStart(t)
	machine.RecordCommandOutcome(false, false)
	machine.RecordCommandOutcome(false, false)
	if machine.UnansweredCommands != 2 {
		t.Errorf("UnansweredCommands is %d, want 2", machine.UnansweredCommands)
	}
	machine.RecordCommandOutcome(false, true)
	if machine.UnansweredCommands != 0 {
		t.Error("an answer did not reset UnansweredCommands")
	}
	machine.RecordCommandOutcome(false, false)
	machine.ApplyStatus(newHeartbeat(1, 2, firstToken), parseTask, now, now.Add(leaseDuration))
	if machine.UnansweredCommands != 0 {
		t.Error("a status did not reset UnansweredCommands")
	}
}
