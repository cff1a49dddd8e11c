package cluster

import (
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

// A late copy of a heartbeat proves nothing, however old it is: it does not count as
// contact and does not make the agent's newest heartbeat look old. The reply to a
// heartbeat that is not newer than the accepted ones carries a probe token. Only an agent
// that has restarted can send this token in another such heartbeat.
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
		machine.RecordHeartbeatReply()
		return true
	}
	for sequence := uint64(2); sequence < 6; sequence++ {
		if !accept(newHeartbeat(1, sequence, firstToken+1, running)) {
			t.Fatal("a new heartbeat was rejected as a copy")
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
	// Copies of heartbeats that the agent sent after it received the token prove nothing
	// either.
	if accept(newHeartbeat(1, 6, machine.IssuedToken, running)) || accept(newHeartbeat(1, 4, firstToken+1)) {
		t.Error("a copy was accepted")
	}
	// The agent has restarted: its first heartbeat is refused, and the token in the next
	// one proves the restart.
	if accept(newHeartbeat(1, 1, 0)) {
		t.Error("a heartbeat without proof of a restart was accepted")
	}
	heartbeat := newHeartbeat(1, 2, machine.IssuedToken)
	if machine.AcceptHeartbeat(heartbeat) || !machine.DetectRestart(heartbeat) {
		t.Fatal("a restarted agent was not detected")
	}
	if ended, _ := machine.ApplyStatus(heartbeat, parseTask, now, now.Add(leaseDuration)); len(ended) != 1 {
		t.Error("the placements from before the restart did not end")
	}
	if machine.Schedulable(now, time.Minute) {
		t.Error("schedulable before the agent refuses the commands sent before its restart")
	}
}

// A probe proves nothing once an agent that has not restarted has acknowledged it, even in
// the answer to a direct command: copies of the agent's later heartbeats carry the probe
// token as well.
func TestStatusInKnownOrderWithdrawsProbe(t *testing.T) {
	machine, _, now := machineWithStart(t)
	machine.RecordCommandOutcome(true, true)
	machine.AcceptHeartbeat(newHeartbeat(1, 2, firstToken+1))
	if machine.DetectRestart(newHeartbeat(1, 1, firstToken)) {
		t.Fatal("a restart was detected before a probe was sent")
	}
	probe := machine.IssuedToken
	machine.ApplyStatus(newHeartbeat(1, 3, probe), parseTask, now, now.Add(leaseDuration))
	if copied := newHeartbeat(1, 2, probe); machine.AcceptHeartbeat(copied) || machine.DetectRestart(copied) {
		t.Error("a copy with an acknowledged probe token proved a restart")
	}
	if machine.IssuedToken <= probe {
		t.Error("the next probe is a token that was sent before")
	}
}

// A proved restart ends the placements of higher incarnations too and removes the cached
// images. A new incarnation without a restart keeps the images.
func TestRestartEndsHigherIncarnationsAndForgetsImages(t *testing.T) {
	machine, placement, now := machineWithStart(t)
	machine.RecordCommandOutcome(true, true)
	machine.RecordImageUse("image", 1, 10)
	machine.AcceptHeartbeat(newHeartbeat(5, 2, firstToken+1))
	machine.ApplyStatus(newHeartbeat(5, 2, firstToken+1), parseTask, now, now.Add(leaseDuration))
	if len(machine.Images()) != 1 {
		t.Error("a new incarnation removed the cached images")
	}
	machine.RemovePlacement(placement, now)
	placement = &Placement{TaskKey: TaskKey{"req-1", 0}, Attempt: 2, Incarnation: 5, Machine: machine, Recorded: true, Sent: true, StartToken: machine.IssuedToken}
	machine.Placements[placement.TaskKey] = placement
	machine.DetectRestart(newHeartbeat(1, 1, 0))
	restarted := newHeartbeat(1, 2, machine.IssuedToken)
	if !machine.DetectRestart(restarted) {
		t.Fatal("the restart was not detected")
	}
	ended, fresh := machine.ApplyStatus(restarted, parseTask, now, now.Add(leaseDuration))
	if !fresh || len(ended) != 1 || ended[0].Placement != placement {
		t.Errorf("the restart ended %v instead of the placement of incarnation 5", ended)
	}
	if len(machine.Images()) != 0 {
		t.Error("the images from before the restart are still assumed to be cached")
	}
	if machine.RequiredToken != machine.IssuedToken || machine.AcknowledgedToken >= machine.RequiredToken {
		t.Error("no new token is required after the restart")
	}
	machine.RecordImageUse("image", 1, 10)
	machine.ApplyStatus(newHeartbeat(2, 3, machine.IssuedToken), parseTask, now, now.Add(leaseDuration))
	if len(machine.Images()) != 1 {
		t.Error("the incarnation after a restart was treated as another restart")
	}
}

// After a proved restart every heartbeat from before it has a higher number than those of
// the restarted agent, but a lower token. No such copy counts, whatever its incarnation: it
// would end the tasks that the restarted agent runs.
func TestCopyFromBeforeRestartProvesNothing(t *testing.T) {
	for _, incarnation := range []protocol.Incarnation{1, 2} {
		machine, placement, now := machineWithStart(t)
		machine.RecordCommandOutcome(true, true)
		before := newHeartbeat(1, 88, firstToken+1)
		machine.AcceptHeartbeat(before)
		machine.ApplyStatus(before, parseTask, now, now.Add(leaseDuration))
		machine.RemovePlacement(placement, now)
		machine.DetectRestart(newHeartbeat(1, 1, 0))
		restarted := newHeartbeat(1, 2, machine.IssuedToken)
		if !machine.DetectRestart(restarted) {
			t.Fatal("the restart was not detected")
		}
		machine.ApplyStatus(restarted, parseTask, now, now.Add(leaseDuration))
		acknowledged := newHeartbeat(1, 3, machine.IssuedToken)
		if !machine.AcceptHeartbeat(acknowledged) {
			t.Fatal("a heartbeat of the restarted agent was refused")
		}
		machine.ApplyStatus(acknowledged, parseTask, now, now.Add(leaseDuration))
		placement = &Placement{TaskKey: TaskKey{"req-2", 0}, Attempt: 1, Incarnation: 1, Machine: machine, Recorded: true}
		machine.Placements[placement.TaskKey] = placement
		machine.RecordStart(placement)
		running := newHeartbeat(1, 4, machine.IssuedToken, protocol.TaskStatus{Task: "req-2/0", Attempt: 1, State: protocol.TaskRunning})
		machine.AcceptHeartbeat(running)
		machine.ApplyStatus(running, parseTask, now, now.Add(leaseDuration))
		copied := newHeartbeat(incarnation, 89, firstToken+1)
		if machine.AcceptHeartbeat(copied) || machine.DetectRestart(copied) {
			t.Errorf("a copy of incarnation %d from before the restart was accepted", incarnation)
		}
		if ended, fresh := machine.ApplyStatus(copied, parseTask, now, now.Add(leaseDuration)); fresh || len(ended) > 0 {
			t.Errorf("a copy of incarnation %d from before the restart ended %v", incarnation, ended)
		}
		if next := newHeartbeat(1, 5, machine.IssuedToken); !machine.AcceptHeartbeat(next) {
			t.Error("the heartbeat after the copy was refused")
		}
	}
}
