package cluster

import (
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

// machineWithInheritedPlacement returns a machine of a new leader, with a placement that an
// earlier leader has recorded in the given incarnation.
func machineWithInheritedPlacement(incarnation protocol.Incarnation) (*Machine, *Placement, time.Time) {
	now := time.Now()
	machine := NewMachine("m-1", firstToken, now, now.Add(leaseDuration))
	placement := &Placement{TaskKey: TaskKey{"req-1", 0}, Attempt: 1, Incarnation: incarnation, Machine: machine,
		Recorded: true, Sent: true, StartToken: firstToken - 1}
	machine.InheritPlacement(placement)
	return machine, placement, now
}

// expectRestart offers two statuses to a machine, of which only the second proves a restart,
// and returns the placements that it ends.
func expectRestart(t *testing.T, machine *Machine, now time.Time, first, second *protocol.Heartbeat) (ended []EndedPlacement) {
	t.Helper()
	if machine.DetectRestart(first) {
		t.Fatal("a restart was detected before a probe was sent")
	}
	if ended, fresh := machine.ApplyStatus(first, parseTask, now, now.Add(leaseDuration)); fresh || len(ended) > 0 {
		t.Fatal("a status without proof of a restart was applied")
	}
	second.Token = machine.IssuedToken
	if !machine.DetectRestart(second) {
		t.Fatal("the restart was not detected")
	}
	ended, fresh := machine.ApplyStatus(second, parseTask, now, now.Add(leaseDuration))
	if !fresh {
		t.Fatal("the status of the restarted agent was not applied")
	}
	return ended
}

// An agent in a lower incarnation than the records name has restarted since they were written,
// or its heartbeat is a late copy. Without the records nothing shows the restart to a new leader.
func TestRestartIsDetectedByInheritedIncarnation(t *testing.T) {
	machine, placement, now := machineWithInheritedPlacement(2)
	if !machine.AcceptHeartbeat(newHeartbeat(1, 1, 0)) {
		t.Fatal("the first heartbeat was refused")
	}
	ended := expectRestart(t, machine, now, newHeartbeat(1, 1, 0), newHeartbeat(1, 2, 0))
	if len(ended) != 1 || ended[0].Placement != placement {
		t.Errorf("the restart ended %v instead of the placement of incarnation 2", ended)
	}
}

// The answers to direct commands show a restart of an agent that cannot send heartbeats. The agent
// takes the probe token only from a command for the incarnation that it names.
func TestRestartIsDetectedByAnswersToCommands(t *testing.T) {
	machine, _, now := machineWithInheritedPlacement(2)
	if machine.CommandIncarnation() != 2 {
		t.Fatalf("commands are addressed to incarnation %d, want the recorded one", machine.CommandIncarnation())
	}
	refusal := newHeartbeat(1, 1, 0)
	machine.DetectRestart(refusal)
	machine.RecordAnsweredIncarnation(refusal.Incarnation)
	if machine.CommandIncarnation() != 1 {
		t.Errorf("commands are addressed to incarnation %d, want the one that the agent named", machine.CommandIncarnation())
	}
	answer := newHeartbeat(1, 2, machine.IssuedToken)
	if !machine.DetectRestart(answer) {
		t.Fatal("the restart was not detected")
	}
	if ended, _ := machine.ApplyStatus(answer, parseTask, now, now.Add(leaseDuration)); len(ended) != 1 {
		t.Error("the placement from before the restart did not end")
	}
	if machine.CommandIncarnation() != 1 {
		t.Errorf("commands are addressed to incarnation %d after the restart, want 1", machine.CommandIncarnation())
	}
}

// An agent can restart after it has answered a new leader's command and before its first
// heartbeat in the term. Its heartbeats are in order among themselves, but not newer than the
// answer.
func TestRestartIsDetectedAfterAnsweredCommand(t *testing.T) {
	machine, _, now := machineWithInheritedPlacement(1)
	running := protocol.TaskStatus{Task: "req-1/0", Attempt: 1, State: protocol.TaskRunning}
	machine.ApplyStatus(newHeartbeat(1, 50, firstToken, running), parseTask, now, now.Add(leaseDuration))
	for _, heartbeat := range []*protocol.Heartbeat{newHeartbeat(1, 1, 0), newHeartbeat(1, 2, firstToken)} {
		if !machine.AcceptHeartbeat(heartbeat) {
			t.Fatal("a heartbeat in order was refused")
		}
	}
	if ended := expectRestart(t, machine, now, newHeartbeat(1, 2, firstToken), newHeartbeat(1, 3, 0)); len(ended) != 1 {
		t.Error("the placement from before the restart did not end")
	}
}

// A heartbeat that the answer to a command has overtaken does not show a restart, nor do the
// heartbeats after it: once a newer status carries the probe token, the probe is withdrawn.
func TestOvertakenHeartbeatProvesNoRestart(t *testing.T) {
	machine, _, now := machineWithStart(t)
	machine.RecordCommandOutcome(true, true)
	running := protocol.TaskStatus{Task: "req-1/0", Attempt: 1, State: protocol.TaskRunning}
	machine.ApplyStatus(newHeartbeat(1, 50, firstToken, running), parseTask, now, now.Add(leaseDuration))
	overtaken := newHeartbeat(1, 49, firstToken)
	if !machine.AcceptHeartbeat(overtaken) || machine.DetectRestart(overtaken) {
		t.Fatal("an overtaken heartbeat was refused or proved a restart")
	}
	probe := machine.IssuedToken
	machine.ApplyStatus(newHeartbeat(1, 52, probe, running), parseTask, now, now.Add(leaseDuration))
	if next := newHeartbeat(1, 51, probe, running); !machine.AcceptHeartbeat(next) || machine.DetectRestart(next) {
		t.Error("a heartbeat with an acknowledged probe token was refused or proved a restart")
	}
	if len(machine.Placements) != 1 {
		t.Error("a placement ended")
	}
}

// After the lease has expired, an agent in the expired incarnation has restarted. A late heartbeat
// that carries a probe token from before the expiry does not show that.
func TestRestartInExpiredIncarnation(t *testing.T) {
	machine, placement, now := machineWithInheritedPlacement(2)
	machine.DetectRestart(newHeartbeat(1, 1, 0)) // a late copy
	probe := machine.IssuedToken
	after := now.Add(leaseDuration + time.Millisecond)
	if ended := machine.ExpireLease(after); len(ended) != 1 {
		t.Fatal("the expired lease ended no placement")
	}
	machine.RemovePlacement(placement, after)
	if machine.DetectRestart(newHeartbeat(2, 40, probe)) {
		t.Error("a heartbeat from before the expiry proved a restart")
	}
	if machine.IssuedToken <= probe {
		t.Error("the next probe is a token that was sent before")
	}
	expectRestart(t, machine, after, newHeartbeat(2, 3, probe), newHeartbeat(2, 4, 0))
	if machine.ExpiredIncarnation != 0 {
		t.Error("the restarted agent's incarnation still counts as expired")
	}
}

// A copy from before a restart can be the first heartbeat that a new leader receives, after the
// restarted agent has answered a command. If the copy were accepted, the agent's own heartbeats
// would not be, and the leader would not count the leases that its replies renew.
func TestCopyFromBeforeRestartHidesNoHeartbeat(t *testing.T) {
	now := time.Now()
	machine := NewMachine("m-1", firstToken, now, now.Add(leaseDuration))
	machine.ApplyStatus(newHeartbeat(1, 1, firstToken), parseTask, now, now.Add(leaseDuration))
	if machine.AcceptHeartbeat(newHeartbeat(1, 88, firstToken-1)) {
		t.Error("a copy with a higher number and a lower token than the answer was accepted")
	}
	if !machine.AcceptHeartbeat(newHeartbeat(1, 2, firstToken)) {
		t.Error("a heartbeat of the agent was refused after the copy")
	}
}
