package cluster

import (
	"testing"
	"time"

	"marblehaven/internal/tuning"
)

// Arriving heartbeats do not show that replies reach the agent. An agent whose heartbeats
// never carry the token of a reply is in a one-way partition; an agent that acknowledges
// the token of some reply is not.
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
		machine.RecordHeartbeatReply()
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
	// A lease that expired although heartbeats were replied to also shows that replies do
	// not reach the agent.
	machine.ApplyStatus(newHeartbeat(2, 11, machine.IssuedToken), parseTask, now, now.Add(leaseDuration))
	if machine.Schedulable(now, time.Minute) {
		t.Error("schedulable before the new token was acknowledged")
	}
}

// The heartbeats from before a restart say nothing of the restarted agent: it has just shown a
// token that a reply has carried.
func TestRestartEndsOneWayPartition(t *testing.T) {
	machine, _, now := machineWithStart(t)
	machine.RecordCommandOutcome(true, true)
	for sequence := uint64(2); sequence < 10; sequence++ {
		heartbeat := newHeartbeat(1, sequence, firstToken)
		machine.AcceptHeartbeat(heartbeat)
		machine.ApplyStatus(heartbeat, parseTask, now, now.Add(leaseDuration))
		machine.RecordHeartbeatReply()
	}
	if !machine.OneWayPartitioned() {
		t.Fatal("no one-way partition although no token was acknowledged")
	}
	expectRestart(t, machine, now, newHeartbeat(1, 1, 0), newHeartbeat(1, 2, 0))
	if machine.OneWayPartitioned() {
		t.Error("a restarted agent counts as partitioned because of heartbeats from before its restart")
	}
}
