package cluster

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

func parse(s string) (TaskKey, bool) {
	jobID, num, ok := strings.Cut(s, "/")
	n, _ := strconv.Atoi(num)
	return TaskKey{protocol.JobID(jobID), n}, ok
}

const lease = 12 * time.Second

const base = protocol.FencingToken(3) << tuning.TermShift

func report(session protocol.Incarnation, seq uint64, token protocol.FencingToken, tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	return &protocol.Heartbeat{Machine: "m-1", Incarnation: session, Sequence: seq, Token: token, Tasks: tasks}
}

// start makes a machine with one placement whose start is under way.
func start(t *testing.T) (*Machine, *Placement, time.Time) {
	now := time.Now()
	machine := NewMachine("m-1", base, now, now.Add(time.Hour))
	machine.ApplyStatus(report(1, 1, base), parse, now, now.Add(lease))
	placement := &Placement{TaskKey: TaskKey{"req-1", 0}, Attempt: 1, Incarnation: 1, Machine: machine, Recorded: true}
	machine.Placements[placement.TaskKey] = placement
	machine.CommandInFlight = true
	machine.RecordStart(placement)
	return machine, placement, now
}

// A placement is released on proof only; each step lacks it but the last.
func TestRelease(t *testing.T) {
	machine, placement, now := start(t)
	expect := func(what string, heartbeat *protocol.Heartbeat, over bool) {
		t.Helper()
		ended, _ := machine.ApplyStatus(heartbeat, parse, now, now.Add(lease))
		if (len(ended) == 1) != over {
			t.Errorf("%s: ended %v", what, ended)
		}
	}
	expect("absent while the command is under way", report(1, 2, base), false)
	machine.RecordCommandOutcome(true, false)
	if machine.Schedulable(now, time.Minute) {
		t.Error("usable while an outcome is unknown")
	}
	expect("absent, but the start may run late", report(1, 3, base), false)
	expect("an older report", report(1, 2, base+1), false)
	expect("running", report(1, 4, base, protocol.TaskStatus{Task: "req-1/0", Attempt: 1, State: protocol.TaskRunning}), false)
	if placement.State != protocol.TaskRunning {
		t.Error("state not taken in")
	}
	expect("another attempt of it", report(1, 5, base, protocol.TaskStatus{Task: "req-1/0", Attempt: 2, State: protocol.TaskRunning}), false)
	if machine.UnknownTaskCount != 1 || len(machine.UnknownTasks()) != 1 || machine.UnknownTasks()[0].Attempt != 2 {
		t.Error("what is not in the records was not seen")
	}
	expect("absent after the higher token was shown", report(1, 6, base+1), true)
	if !machine.Schedulable(now, time.Minute) {
		t.Error("not usable after the outcome is settled")
	}
}

// An attempt is not reaped while a copy of its start could run it again.
func TestReap(t *testing.T) {
	machine, placement, now := start(t)
	machine.RecordCommandOutcome(true, true)
	done := protocol.TaskStatus{Task: "req-1/0", Attempt: 1, State: protocol.TaskExited, ExitReason: protocol.ExitDone}
	ended, _ := machine.ApplyStatus(report(1, 2, base, done), parse, now, now.Add(lease))
	if len(ended) != 1 || ended[0].ExitReason != protocol.ExitDone {
		t.Fatalf("ended %v", ended)
	}
	machine.RemovePlacement(placement, now)
	if machine.MayRelease(placement.TaskKey, 1) {
		t.Error("reaped while a copy of the start would be executed")
	}
	machine.ApplyStatus(report(1, 3, base+1, done), parse, now, now.Add(lease))
	if !machine.MayRelease(placement.TaskKey, 1) {
		t.Error("not reaped although copies are refused")
	}
}

// The lease of a session counts from its beginning, not from the last answer
// to a report of the session before.
func TestNewSessionKeepsItsLease(t *testing.T) {
	machine, _, now := start(t)
	machine.LeaseExpiry = now.Add(time.Second)
	machine.RecordCommandOutcome(true, true)
	machine.ApplyStatus(report(2, 2, base+1), parse, now, now.Add(lease))
	placement := &Placement{TaskKey: TaskKey{"req-1", 0}, Attempt: 2, Incarnation: 2, Machine: machine, Recorded: true}
	machine.Placements[placement.TaskKey] = placement
	if ended := machine.ExpireLease(now.Add(2 * time.Second)); len(ended) > 0 {
		t.Error("a session was over before its lease")
	}
	if ended := machine.ExpireLease(now.Add(lease + time.Second)); len(ended) == 0 {
		t.Error("a session without answers lasts beyond its lease")
	}
}

func TestNewSessionAndLapse(t *testing.T) {
	machine, placement, now := start(t)
	if ended := machine.ExpireLease(now); len(ended) > 0 {
		t.Error("lapsed before the lease is over")
	}
	if ended, _ := machine.ApplyStatus(report(2, 2, base), parse, now, now.Add(lease)); len(ended) != 1 || ended[0].Placement != placement {
		t.Error("a new tenure did not release")
	}
	machine, placement, _ = start(t)
	after := machine.LeaseExpiry.Add(time.Millisecond)
	if ended := machine.ExpireLease(after); len(ended) != 1 || ended[0].Placement != placement {
		t.Error("a lease that is over did not release")
	}
	machine.RecordCommandOutcome(true, true)
	if _, fresh := machine.ApplyStatus(report(1, 9, base), parse, after, after.Add(lease)); fresh || machine.Schedulable(after, time.Minute) {
		t.Error("a report of a session that is over was taken in")
	}
}

// A late copy of a report proves nothing: it does not count as heard, at no age,
// and does not make the worker's newest report look old. Only a worker that
// began anew can show a token that was sent in answer to a report that looks old.
func TestLateCopies(t *testing.T) {
	machine, placement, now := start(t)
	machine.RecordCommandOutcome(true, true)
	running := protocol.TaskStatus{Task: "req-1/0", Attempt: 1, State: protocol.TaskRunning}
	take := func(heartbeat *protocol.Heartbeat) bool {
		t.Helper()
		if !machine.AcceptHeartbeat(heartbeat) && !machine.DetectRestart(heartbeat) {
			return false
		}
		machine.ApplyStatus(heartbeat, parse, now, now.Add(lease))
		machine.RecordAnswer()
		return true
	}
	for seq := uint64(2); seq < 6; seq++ {
		if !take(report(1, seq, base+1, running)) {
			t.Fatal("a new report was taken for a copy")
		}
	}
	for _, seq := range []uint64{1, 3, 5, 5, 2} {
		if take(report(1, seq, base+1)) {
			t.Errorf("a copy of report %d was taken in", seq)
		}
	}
	if len(machine.Placements) != 1 || placement.State != protocol.TaskRunning {
		t.Error("a copy released a placement")
	}
	if !take(report(1, 6, machine.IssuedToken, running)) {
		t.Error("the newest report looks old after copies")
	}
	// Copies of what it said since it has seen the token prove nothing either.
	if take(report(1, 6, machine.IssuedToken, running)) || take(report(1, 4, base+1)) {
		t.Error("a copy was taken in")
	}
	// It began anew: first nothing is believed, then the token proves it.
	if take(report(1, 1, 0)) {
		t.Error("a report without proof was taken in")
	}
	ended, _ := []EndedPlacement(nil), false
	heartbeat := report(1, 2, machine.IssuedToken)
	if machine.AcceptHeartbeat(heartbeat) || !machine.DetectRestart(heartbeat) {
		t.Fatal("a worker that began anew is not known as such")
	}
	if ended, _ = machine.ApplyStatus(heartbeat, parse, now, now.Add(lease)); len(ended) != 1 {
		t.Error("what its former life ran is not over")
	}
	if machine.Schedulable(now, time.Minute) {
		t.Error("usable before it has shown that commands of the former life are refused")
	}
}

// That a worker's reports come does not show that it hears: one that never shows
// the token it was answered with is deaf, one that does now and then is not.
func TestDeaf(t *testing.T) {
	machine, _, now := start(t)
	machine.RecordCommandOutcome(true, true)
	for seq := uint64(2); seq < 10; seq++ {
		if seq >= 2+1+tuning.OneWayPartitionHeartbeats && !machine.OneWayPartitioned() {
			t.Errorf("not deaf at report %d", seq)
		}
		heartbeat := report(1, seq, base)
		machine.AcceptHeartbeat(heartbeat)
		machine.ApplyStatus(heartbeat, parse, now, now.Add(lease))
		machine.RecordAnswer()
	}
	if machine.Schedulable(now, time.Minute) {
		t.Error("a deaf machine is usable")
	}
	heartbeat := report(1, 10, machine.IssuedToken)
	machine.AcceptHeartbeat(heartbeat)
	machine.ApplyStatus(heartbeat, parse, now, now.Add(lease))
	if machine.OneWayPartitioned() {
		t.Error("deaf although it has shown the token")
	}
	// A lease lost although reports were answered is the same sign.
	machine.ApplyStatus(report(2, 11, machine.IssuedToken), parse, now, now.Add(lease))
	if machine.Schedulable(now, time.Minute) {
		t.Error("usable before it has shown that it hears")
	}
}
