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

// A leader process was paused for seconds while its clocks advanced. Every machine then
// appears silent and every job appears to have waited for as long as the pause lasted, and
// the leader's last proof that it leads is as old as the pause. Until the key-value store
// has answered, the leader places nothing, deprovisions nothing, calls no agent and does
// not resign.
func TestPausedLeaderDecidesNothing(t *testing.T) {
	emptyMachines := func(leader *Leader) {
		for _, machine := range leader.machines.sorted[:50] {
			for _, placement := range machine.Placements {
				delete(leader.jobs.open[placement.Job].placements, placement.Task)
			}
			clear(machine.Placements)
		}
		leader.provisioner.listInFlight, leader.provisioner.listed, leader.catalog.nextRead, leader.images.nextSave = true, true, leader.tookOverAt.Add(time.Hour), leader.tookOverAt.Add(time.Hour)
	}
	countPlaced := func(leader *Leader) (n int) {
		for _, machine := range leader.machines.sorted[:50] {
			n += len(machine.Placements)
		}
		return n
	}
	leader, now := newLoadedLeader(2100, 1000)
	emptyMachines(leader)
	if leader.schedule(now); countPlaced(leader) == 0 {
		t.Fatal("the leader placed no task before the pause")
	}
	leader, now = newLoadedLeader(2100, 1000)
	emptyMachines(leader)
	resigned := false
	leader.Config.Peers, leader.lease.majorityReported = make([]config.Peer, 4), true
	leader.Resign = func() { resigned = true }
	// One start is recorded and not sent yet. Its job may have been cancelled during the pause.
	machine := leader.machines.sorted[100]
	var start *cluster.Placement
	for _, start = range machine.Placements {
		break
	}
	start.Recorded, start.Sent, start.Incarnation = true, false, machine.Incarnation
	machine.Addr, machine.Outbox = machine.ID+":1", []*cluster.Placement{start}
	for _, pauseS := range []time.Duration{4, 8, 12} {
		later := now.Add(pauseS * time.Second)
		leader.onTick(later)
		leader.runCycle(later)
		calls := 0
		for _, machine := range leader.machines.byID {
			if machine.CommandInFlight {
				calls++
			}
		}
		if n := countPlaced(leader); n > 0 || len(leader.provisioner.deprovisionQueue)+len(leader.provisioner.deprovisionInFlight)+calls+len(leader.provisioner.requests) > 0 || leader.writer.inFlight != nil || resigned {
			t.Errorf("after a pause of %d s: %d tasks placed, %d machines to be deprovisioned, %d agents called, resigned: %v", pauseS, n, len(leader.provisioner.deprovisionQueue)+len(leader.provisioner.deprovisionInFlight), calls, resigned)
		}
	}
	// Once the store has answered, the start is sent.
	agentCalls := &recordingTransport{answer: make(chan struct{})}
	defer close(agentCalls.answer)
	leader.Agents = agent.New(agentCalls, httpclient.NewMalformedLog(leader.Log), 5000)
	later := now.Add(12 * time.Second)
	leader.lease.confirmedByWatch, leader.lease.confirmedByTerm = later, later
	if leader.dispatch(machine, later); !start.Sent || len(machine.Outbox) > 0 {
		t.Error("a start that waited for the store was not sent after the store had answered")
	}
}

// Controllers may report a job as cancelled before the leader has read the changed record
// of the job. The leader stops the job at once, but makes no write conditional on its
// version of the record: the write would fail, and with it every other write of the same
// commit.
func TestCancellationKnownBeforeItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, now := newLoadedLeader(8, 2)
		defer withUnresponsiveStore(t, leader)()
		reported, other := leader.jobs.open["req-000000"], leader.jobs.open["req-000001"]
		removeAllPlacements(now, reported, other)
		late := now.Add(time.Minute)
		leader.AcknowledgedCancellations = func(time.Time) (time.Time, []protocol.JobID, bool) { return late, []protocol.JobID{reported.id}, true }
		leader.confirmByPeers(late)
		if !reported.cancelled || other.cancelled || !leader.lease.lastProof().Equal(late) {
			t.Fatalf("reported job cancelled: %v, other job cancelled: %v, last proof after %v", reported.cancelled, other.cancelled, leader.lease.lastProof().Sub(now))
		}
		leader.commit(late)
		if leader.writer.inFlight != nil {
			t.Error("a job was closed on an outdated version of its record")
		}
		open := records.OpenJob{AcceptedMS: now.UnixMilli(), Job: reported.spec, Cancelled: true}
		raw, _ := codec.Marshal(open)
		leader.applyOpenRecord(records.OpenKey(reported.id), raw, reported.openVersion+1, late)
		leader.commit(late)
		closesReported := func(closing jobClosing) bool { return closing.job == reported }
		if leader.writer.inFlight == nil || !slices.ContainsFunc(leader.writer.inFlight.closed, closesReported) {
			t.Error("the job is not closed although its changed record was read")
		}
	})
}

// The lease counts from proofs only. A start needs a recent confirmation by the store
// itself, both by its watch and by the term key. Heartbeats may be answered for the
// duration of the lease after the last proof, whether by the store or by the other
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
				t.Errorf("mayStart() = %v", got)
			}
			if got := lease.mayAnswer(now); got != tc.mayAnswer {
				t.Errorf("mayAnswer() = %v", got)
			}
		})
	}
}

// A proof that arrives late never shortens the lease.
func TestOlderProofByPeersIsIgnored(t *testing.T) {
	now := time.Now()
	lease := newLeaderLease(config.Workers{LeaseS: 12, CancelS: 37})
	lease.recordPeerProof(now)
	lease.recordPeerProof(now.Add(-time.Minute))
	if !lease.lastProof().Equal(now) {
		t.Errorf("the last proof moved back by %v", now.Sub(lease.lastProof()))
	}
}
