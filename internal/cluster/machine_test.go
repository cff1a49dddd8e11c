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
	ref, num, ok := strings.Cut(s, "/")
	n, _ := strconv.Atoi(num)
	return TaskKey{ref, n}, ok
}

const lease = 12 * time.Second

const base = uint64(3) << tuning.TermShift

func report(session, seq, token uint64, tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	return &protocol.Heartbeat{Machine: "m-1", Incarnation: session, Sequence: seq, Token: token, Tasks: tasks}
}

// start makes a machine with one placement whose start is under way.
func start(t *testing.T) (*Machine, *Placement, time.Time) {
	now := time.Now()
	m := NewMachine("m-1", base, now, now.Add(time.Hour))
	m.ApplyStatus(report(1, 1, base), parse, now, now.Add(lease))
	p := &Placement{TaskKey: TaskKey{"req-1", 0}, Attempt: 1, Incarnation: 1, Machine: m, Recorded: true}
	m.Placements[p.TaskKey] = p
	m.CommandInFlight = true
	m.RecordStart(p)
	return m, p, now
}

// A placement is released on proof only; each step lacks it but the last.
func TestRelease(t *testing.T) {
	m, p, now := start(t)
	expect := func(what string, r *protocol.Heartbeat, over bool) {
		t.Helper()
		ended, _ := m.ApplyStatus(r, parse, now, now.Add(lease))
		if (len(ended) == 1) != over {
			t.Errorf("%s: ended %v", what, ended)
		}
	}
	expect("absent while the command is under way", report(1, 2, base), false)
	m.RecordCommandOutcome(true, false)
	if m.Schedulable(now, time.Minute) {
		t.Error("usable while an outcome is unknown")
	}
	expect("absent, but the start may run late", report(1, 3, base), false)
	expect("an older report", report(1, 2, base+1), false)
	expect("running", report(1, 4, base, protocol.TaskStatus{Task: "req-1/0", Attempt: 1, State: protocol.TaskRunning}), false)
	if p.State != protocol.TaskRunning {
		t.Error("state not taken in")
	}
	expect("another attempt of it", report(1, 5, base, protocol.TaskStatus{Task: "req-1/0", Attempt: 2, State: protocol.TaskRunning}), false)
	if m.UnknownTaskCount != 1 || len(m.UnknownTasks()) != 1 || m.UnknownTasks()[0].Attempt != 2 {
		t.Error("what is not in the records was not seen")
	}
	expect("absent after the higher token was shown", report(1, 6, base+1), true)
	if !m.Schedulable(now, time.Minute) {
		t.Error("not usable after the outcome is settled")
	}
}

// An attempt is not reaped while a copy of its start could run it again.
func TestReap(t *testing.T) {
	m, p, now := start(t)
	m.RecordCommandOutcome(true, true)
	done := protocol.TaskStatus{Task: "req-1/0", Attempt: 1, State: protocol.TaskExited, ExitReason: protocol.ExitDone}
	ended, _ := m.ApplyStatus(report(1, 2, base, done), parse, now, now.Add(lease))
	if len(ended) != 1 || ended[0].ExitReason != protocol.ExitDone {
		t.Fatalf("ended %v", ended)
	}
	m.RemovePlacement(p, now)
	if m.MayRelease(p.TaskKey, 1) {
		t.Error("reaped while a copy of the start would be executed")
	}
	m.ApplyStatus(report(1, 3, base+1, done), parse, now, now.Add(lease))
	if !m.MayRelease(p.TaskKey, 1) {
		t.Error("not reaped although copies are refused")
	}
}

// The lease of a session counts from its beginning, not from the last answer
// to a report of the session before.
func TestNewSessionKeepsItsLease(t *testing.T) {
	m, _, now := start(t)
	m.LeaseExpiry = now.Add(time.Second)
	m.RecordCommandOutcome(true, true)
	m.ApplyStatus(report(2, 2, base+1), parse, now, now.Add(lease))
	p := &Placement{TaskKey: TaskKey{"req-1", 0}, Attempt: 2, Incarnation: 2, Machine: m, Recorded: true}
	m.Placements[p.TaskKey] = p
	if ended := m.ExpireLease(now.Add(2 * time.Second)); len(ended) > 0 {
		t.Error("a session was over before its lease")
	}
	if ended := m.ExpireLease(now.Add(lease + time.Second)); len(ended) == 0 {
		t.Error("a session without answers lasts beyond its lease")
	}
}

func TestNewSessionAndLapse(t *testing.T) {
	m, p, now := start(t)
	if ended := m.ExpireLease(now); len(ended) > 0 {
		t.Error("lapsed before the lease is over")
	}
	if ended, _ := m.ApplyStatus(report(2, 2, base), parse, now, now.Add(lease)); len(ended) != 1 || ended[0].Placement != p {
		t.Error("a new tenure did not release")
	}
	m, p, _ = start(t)
	after := m.LeaseExpiry.Add(time.Millisecond)
	if ended := m.ExpireLease(after); len(ended) != 1 || ended[0].Placement != p {
		t.Error("a lease that is over did not release")
	}
	m.RecordCommandOutcome(true, true)
	if _, fresh := m.ApplyStatus(report(1, 9, base), parse, after, after.Add(lease)); fresh || m.Schedulable(after, time.Minute) {
		t.Error("a report of a session that is over was taken in")
	}
}

// A late copy of a report proves nothing: it does not count as heard, at no age,
// and does not make the worker's newest report look old. Only a worker that
// began anew can show a token that was sent in answer to a report that looks old.
func TestLateCopies(t *testing.T) {
	m, p, now := start(t)
	m.RecordCommandOutcome(true, true)
	running := protocol.TaskStatus{Task: "req-1/0", Attempt: 1, State: protocol.TaskRunning}
	take := func(r *protocol.Heartbeat) bool {
		t.Helper()
		if !m.AcceptHeartbeat(r) && !m.DetectRestart(r) {
			return false
		}
		m.ApplyStatus(r, parse, now, now.Add(lease))
		m.RecordAnswer()
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
	if len(m.Placements) != 1 || p.State != protocol.TaskRunning {
		t.Error("a copy released a placement")
	}
	if !take(report(1, 6, m.IssuedToken, running)) {
		t.Error("the newest report looks old after copies")
	}
	// Copies of what it said since it has seen the token prove nothing either.
	if take(report(1, 6, m.IssuedToken, running)) || take(report(1, 4, base+1)) {
		t.Error("a copy was taken in")
	}
	// It began anew: first nothing is believed, then the token proves it.
	if take(report(1, 1, 0)) {
		t.Error("a report without proof was taken in")
	}
	ended, _ := []EndedPlacement(nil), false
	r := report(1, 2, m.IssuedToken)
	if m.AcceptHeartbeat(r) || !m.DetectRestart(r) {
		t.Fatal("a worker that began anew is not known as such")
	}
	if ended, _ = m.ApplyStatus(r, parse, now, now.Add(lease)); len(ended) != 1 {
		t.Error("what its former life ran is not over")
	}
	if m.Schedulable(now, time.Minute) {
		t.Error("usable before it has shown that commands of the former life are refused")
	}
}

// That a worker's reports come does not show that it hears: one that never shows
// the token it was answered with is deaf, one that does now and then is not.
func TestDeaf(t *testing.T) {
	m, _, now := start(t)
	m.RecordCommandOutcome(true, true)
	for seq := uint64(2); seq < 10; seq++ {
		if seq >= 2+1+tuning.OneWayPartitionHeartbeats && !m.OneWayPartitioned() {
			t.Errorf("not deaf at report %d", seq)
		}
		r := report(1, seq, base)
		m.AcceptHeartbeat(r)
		m.ApplyStatus(r, parse, now, now.Add(lease))
		m.RecordAnswer()
	}
	if m.Schedulable(now, time.Minute) {
		t.Error("a deaf machine is usable")
	}
	r := report(1, 10, m.IssuedToken)
	m.AcceptHeartbeat(r)
	m.ApplyStatus(r, parse, now, now.Add(lease))
	if m.OneWayPartitioned() {
		t.Error("deaf although it has shown the token")
	}
	// A lease lost although reports were answered is the same sign.
	m.ApplyStatus(report(2, 11, m.IssuedToken), parse, now, now.Add(lease))
	if m.Schedulable(now, time.Minute) {
		t.Error("usable before it has shown that it hears")
	}
}
