package leader

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/agent"
	"marblehaven/internal/cluster"
	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// A leader that was paused for seconds while its clocks ran on finds every machine
// silent and every job waiting at once. Its last proof that it leads is as old: it
// decides nothing, deprovisions nothing, calls nobody and does not resign until the
// key-value store has answered.
func TestPausedLeaderDecidesNothing(t *testing.T) {
	free := func(leader *Leader) {
		for _, machine := range leader.machines.sorted[:50] {
			for _, placement := range machine.Placements {
				delete(leader.jobs.open[placement.Job].placements, placement.Task)
			}
			clear(machine.Placements)
		}
		leader.provisioner.listInFlight, leader.provisioner.listed, leader.catalog.nextRead, leader.images.nextSave = true, true, leader.tookOverAt.Add(time.Hour), leader.tookOverAt.Add(time.Hour)
	}
	placed := func(leader *Leader) (n int) {
		for _, machine := range leader.machines.sorted[:50] {
			n += len(machine.Placements)
		}
		return n
	}
	leader, now := newLoadedLeader(2100, 1000)
	free(leader)
	if leader.schedule(now); placed(leader) == 0 {
		t.Fatal("nothing was to be decided")
	}
	leader, now = newLoadedLeader(2100, 1000)
	free(leader)
	resigned := false
	leader.Config.Peers, leader.lease.majorityReported = make([]config.Peer, 4), true
	leader.Resign = func() { resigned = true }
	// One start was recorded and not yet sent: its job may be cancelled by now.
	machine := leader.machines.sorted[100]
	var start *cluster.Placement
	for _, start = range machine.Placements {
		break
	}
	start.Recorded, start.Sent, start.Incarnation = true, false, machine.Incarnation
	machine.Addr, machine.Outbox = machine.ID+":1", []*cluster.Placement{start}
	for _, still := range []time.Duration{4, 8, 12} {
		later := now.Add(still * time.Second)
		leader.onTick(later)
		leader.runCycle(later)
		calls := 0
		for _, machine := range leader.machines.byID {
			if machine.CommandInFlight {
				calls++
			}
		}
		if n := placed(leader); n > 0 || len(leader.provisioner.deprovisionQueue)+len(leader.provisioner.deprovisionInFlight)+calls+len(leader.provisioner.requests) > 0 || leader.writer.inFlight != nil || resigned {
			t.Errorf("after %d s: %d placed, %d to be deprovisioned, %d called, resigned %v", still, n, len(leader.provisioner.deprovisionQueue)+len(leader.provisioner.deprovisionInFlight), calls, resigned)
		}
	}
	// Once the store has answered the start goes out.
	w := &recordingTransport{answer: make(chan struct{})}
	defer close(w.answer)
	leader.Agents = agent.New(w, httpclient.NewMalformedLog(leader.Log), 5000)
	later := now.Add(12 * time.Second)
	leader.lease.confirmedByWatch, leader.lease.confirmedByTerm = later, later
	if leader.dispatch(machine, later); !start.Sent || len(machine.Outbox) > 0 {
		t.Error("a start that waited for the store was never sent")
	}
}

// Controllers may name a job as cancelled before its record with that was read. The job is
// stopped at once, but nothing is written under a condition on the version that is
// known: the write would fail, and with it every other of the same commit.
func TestCancellationKnownBeforeItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, now := newLoadedLeader(8, 2)
		defer withUnresponsiveStore(t, leader)()
		named, other := leader.jobs.open["req-000000"], leader.jobs.open["req-000001"]
		removeAllPlacements(now, named, other)
		late := now.Add(time.Minute)
		leader.AcknowledgedCancellations = func(time.Time) (time.Time, []protocol.JobID, bool) { return late, []protocol.JobID{named.id}, true }
		leader.confirmByPeers(late)
		if !named.cancelled || other.cancelled || !leader.lease.lastProof().Equal(late) {
			t.Fatalf("cancelled %v and %v, last proof %v", named.cancelled, other.cancelled, leader.lease.lastProof().Sub(now))
		}
		leader.commit(late)
		if leader.writer.inFlight != nil {
			t.Error("a job was closed on a version that is behind")
		}
		o := records.OpenJob{AcceptedMS: now.UnixMilli(), Job: named.spec, Cancelled: true}
		raw, _ := codec.Marshal(o)
		leader.applyOpenRecord(records.OpenKey(named.id), raw, named.openVersion+1, late)
		leader.commit(late)
		isNamed := func(cl jobClosing) bool { return cl.job == named }
		if leader.writer.inFlight == nil || !slices.ContainsFunc(leader.writer.inFlight.closed, isNamed) {
			t.Error("a job whose record was read is not closed")
		}
	})
}

// The lease counts from proofs only: starts need a recent confirmation by the store
// itself, of its watch and of the term key both; heartbeats may be answered for the
// lease's duration after the last proof, whether by the store or by the other
// controllers.
func TestLeaderLease(t *testing.T) {
	const duration = 23 * time.Second // 37 s less 12 s less the margin of 2 s
	now := time.Now()
	ago := func(age time.Duration) time.Time { return now.Add(-age) }
	never := time.Time{}
	for _, tc := range []struct {
		name                     string
		byWatch, byTerm, byPeers time.Time
		mayStart, mayAnswer      bool
	}{
		{"nothing is confirmed", never, never, never, false, false},
		{"both confirmations are recent", ago(time.Second), ago(time.Second), never, true, true},
		{"the watch alone is recent", ago(time.Second), never, never, false, false},
		{"the term key was read long ago", ago(time.Second), ago(5 * time.Second), never, false, true},
		{"the watch returned long ago", ago(5 * time.Second), ago(time.Second), never, false, true},
		{"the duration is just not over", ago(duration), ago(duration), never, false, true},
		{"the duration is over", ago(duration + 1), ago(time.Second), never, false, false},
		{"the other controllers vouch", ago(time.Minute), ago(time.Minute), ago(time.Second), false, true},
		{"they have vouched long ago", ago(time.Minute), ago(time.Minute), ago(duration + 1), false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			lease := newLeaderLease(config.Workers{LeaseS: 12, CancelS: 37})
			lease.confirmedByWatch, lease.confirmedByTerm = tc.byWatch, tc.byTerm
			lease.recordPeerProof(tc.byPeers)
			if got := lease.mayStart(now); got != tc.mayStart {
				t.Errorf("may start: %v", got)
			}
			if got := lease.mayAnswer(now); got != tc.mayAnswer {
				t.Errorf("may answer: %v", got)
			}
		})
	}
}

// A proof that comes late never shortens the lease.
func TestOlderProofByPeersIsIgnored(t *testing.T) {
	now := time.Now()
	lease := newLeaderLease(config.Workers{LeaseS: 12, CancelS: 37})
	lease.recordPeerProof(now)
	lease.recordPeerProof(now.Add(-time.Minute))
	if !lease.lastProof().Equal(now) {
		t.Errorf("the last proof went back by %v", now.Sub(lease.lastProof()))
	}
}
