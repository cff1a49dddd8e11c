package server

import (
	"testing"
	"time"
)

// startAfterCancelLimit is how long after a confirmed cancellation a task is still allowed to
// start: its direct command can be in flight, and its image is fetched after that.
const startAfterCancelLimit = 8 * time.Second

// TestCompoundFailures checks recovery from two failures at once, with one case for each pair
// that the operators expect and that no other scenario covers; docs/compound-failures.md
// lists all pairs.
func TestCompoundFailures(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// causeFailures starts jobs and causes the failures, in one of three variants.
		causeFailures func(c *testCluster, variant uint64)
		seeds         uint64 // how many are played unless CHAOS_SEEDS asks for more
	}{
		{"no agent can open connections", agentsCannotConnect, 3},
		{"work bound to a zone loses its machines", zoneLosesMachines, 3},
		{"all controllers are away for longer than a lease", allControllersDown, 3},
		{"slow answers, then the leader alone is refused, then all, while users cancel and ask", slowStoreThenRefusals, 3},
		{"a team at its limit, machines that can't be asked, a cancellation and a new leader", quotaLimitAndNewLeader, 3},
		{"ten leaders in two minutes, also inside an outage", tenFailovers, 3},
		{"more work than room, urgent and not, over slow links", moreWorkThanCapacity, 3},
		{"the leader ends while machines with long tasks can't be reached or hear nothing", leaderKilledDuringPartitions, 3},
		{"a machine hangs in the middle of a command and goes on", machinesHangInCommand, 3},
		{"tasks end far apart across a change of leader", tasksEndFarApart, 3},
		{"a cancellation, a question and a repeat meet the end of the last task", requestsAsLastTaskEnds, 3},
		{"controllers hand over and back, all end, one returns within a second", leadersRestartThenAllKilled, 3},
		{"transactions without an answer are carried out late", commitsExecutedLate, 3},
		{"copies of old heartbeats come from machines that died", repeatedHeartbeatsOfKilledMachines, 3},
		{"heartbeats are held until a new leader has acted", delayedHeartbeats, 3},
		{"machines restart together with the leader, copies of their heartbeats follow", machinesRebootWithLeader, 30},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(tc.seeds) {
				run(t, 300+seed, func(c *testCluster) {
					tc.causeFailures(c, seed%3)
					c.expectRecovery()
					if c.env.MaxStartAfterCancel() > startAfterCancelLimit {
						t.Errorf("a task started %v after the cancellation of its job was confirmed", c.env.MaxStartAfterCancel())
					}
				})
			}
		})
	}
}
