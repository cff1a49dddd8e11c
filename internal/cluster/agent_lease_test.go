package cluster

import (
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

// The lease of an incarnation counts from the start of the incarnation, not from the last
// reply to a heartbeat of the previous one.
func TestLeaseOfNewIncarnationCountsFromItsBeginning(t *testing.T) {
	machine, _, now := machineWithStart(t)
	machine.LeaseExpiry = now.Add(time.Second)
	machine.RecordCommandOutcome(true, true)
	machine.ApplyStatus(newHeartbeat(2, 2, firstToken+1), parseTask, now, now.Add(leaseDuration))
	placement := &Placement{TaskKey: TaskKey{"req-1", 0}, Attempt: 2, Incarnation: 2, Machine: machine, Recorded: true}
	machine.Placements[placement.TaskKey] = placement
	if ended := machine.ExpireLease(now.Add(2 * time.Second)); len(ended) > 0 {
		t.Error("a placement of a new incarnation ended before its lease expired")
	}
	if ended := machine.ExpireLease(now.Add(leaseDuration + time.Second)); len(ended) == 0 {
		t.Error("a placement of an incarnation without replies did not end after its lease expired")
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

// A new incarnation never shortens the lease: a reply that is still in flight may renew it.
func TestNewIncarnationDoesNotShortenLease(t *testing.T) {
	machine, _, now := machineWithStart(t)
	expiry := now.Add(time.Hour)
	machine.LeaseExpiry = expiry
	machine.ApplyStatus(newHeartbeat(2, 2, firstToken), parseTask, now, now.Add(leaseDuration))
	if !machine.LeaseExpiry.Equal(expiry) {
		t.Errorf("a new incarnation moved the expiry of the lease by %v", machine.LeaseExpiry.Sub(expiry))
	}
}

// Once the lease has expired, the incarnation counts as ended: its statuses are not
// applied, while those of the next incarnation are.
func TestNextIncarnationIsAppliedAfterLeaseExpired(t *testing.T) {
	machine, placement, now := machineWithStart(t)
	machine.RemovePlacement(placement, now)
	after := machine.LeaseExpiry.Add(time.Millisecond)
	machine.ExpireLease(after)
	if _, fresh := machine.ApplyStatus(newHeartbeat(1, 9, firstToken), parseTask, after, after.Add(leaseDuration)); fresh {
		t.Error("a status of an expired incarnation was applied")
	}
	if _, fresh := machine.ApplyStatus(newHeartbeat(2, 10, firstToken), parseTask, after, after.Add(leaseDuration)); !fresh {
		t.Error("a status of the next incarnation was not applied")
	}
}

// A recorded placement names its incarnation, even on a machine whose agent has sent this
// leader no status. Once the lease has expired, that incarnation counts as ended.
func TestExpiredLeaseEndsIncarnationOfInheritedPlacement(t *testing.T) {
	now := time.Now()
	machine := NewMachine("m-1", firstToken, now, now.Add(leaseDuration))
	placement := &Placement{TaskKey: TaskKey{"req-1", 0}, Attempt: 1, Incarnation: 3, Machine: machine, Recorded: true, Sent: true, StartToken: firstToken - 1}
	machine.Placements[placement.TaskKey] = placement
	after := now.Add(leaseDuration + time.Millisecond)
	if ended := machine.ExpireLease(after); len(ended) != 1 {
		t.Errorf("the expired lease ended %v instead of one placement", ended)
	}
	if _, fresh := machine.ApplyStatus(newHeartbeat(3, 9, firstToken), parseTask, after, after.Add(leaseDuration)); fresh {
		t.Error("a status of the expired incarnation was applied")
	}
}

// The first status that a new leader receives can be a late copy from before a restart, in a
// higher incarnation than the records name. Only a token of the leader's term shows that it is
// not. Until then the placement ends with the lease of its own incarnation: replies to
// heartbeats of the higher one do not renew that.
func TestHigherIncarnationEndsInheritedPlacementAfterFirstTokenOfTerm(t *testing.T) {
	for _, acknowledged := range []bool{true, false} {
		machine, placement, now := machineWithInheritedPlacement(1)
		leaseEnd := machine.LeaseExpiry
		for sequence := uint64(33); sequence < 36; sequence++ {
			status := newHeartbeat(2, sequence, firstToken-1)
			if ended, fresh := machine.ApplyStatus(status, parseTask, now, leaseEnd.Add(time.Minute)); !fresh || len(ended) > 0 {
				t.Fatalf("a status that may be a late copy ended %v", ended)
			}
		}
		var ended []EndedPlacement
		if acknowledged {
			ended, _ = machine.ApplyStatus(newHeartbeat(2, 36, firstToken), parseTask, now, leaseEnd.Add(time.Minute))
		} else {
			if ended := machine.ExpireLease(leaseEnd); len(ended) > 0 {
				t.Error("the placement ended before the lease of its incarnation expired")
			}
			ended = machine.ExpireLease(leaseEnd.Add(time.Millisecond))
		}
		if len(ended) != 1 || ended[0].Placement != placement {
			t.Errorf("token of the term acknowledged %v: ended %v instead of the placement", acknowledged, ended)
		}
	}
}

// A late copy that was applied hides the agent's newest heartbeats, but the replies to them renew
// the agent's lease.
func TestReplyToHiddenHeartbeatExtendsLease(t *testing.T) {
	for _, copiedIncarnation := range []protocol.Incarnation{1, 2} {
		machine, _, now := machineWithInheritedPlacement(1)
		copied := newHeartbeat(copiedIncarnation, 88, firstToken-2)
		machine.AcceptHeartbeat(copied)
		machine.ApplyStatus(copied, parseTask, now, machine.LeaseExpiry)
		if machine.AcceptHeartbeat(newHeartbeat(1, 21, firstToken-1)) {
			t.Fatal("a heartbeat was accepted although a copy with a higher number was")
		}
		renewedUntil := machine.LeaseExpiry.Add(5 * time.Second)
		machine.RecordUnappliedReply(1, renewedUntil)
		if ended := machine.ExpireLease(renewedUntil); len(ended) > 0 {
			t.Errorf("a copy of incarnation %d: the placement ended before the renewed lease expired", copiedIncarnation)
		}
		if ended := machine.ExpireLease(renewedUntil.Add(time.Millisecond)); len(ended) != 1 {
			t.Errorf("a copy of incarnation %d: the placement did not end after the renewed lease expired", copiedIncarnation)
		}
	}
}
