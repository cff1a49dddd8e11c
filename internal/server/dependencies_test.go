package server

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// A pipeline runs in its order; cancelling one of its jobs cancels those behind it
// and no others; what the rules say is judged by the fakes.
func TestPipeline(t *testing.T) {
	t.Parallel()
	run(t, 60, func(c *testCluster) {
		whole := c.pipeline(100)
		cut := c.pipeline(200)
		c.untilDone(3*time.Minute, cut[0])
		c.env.Cancel(cut[1])
		c.untilCancelled(10*time.Second, cut[1], cut[3], cut[4])
		c.untilDone(3*time.Minute, cut[2])
		c.untilDone(5*time.Minute, whole...)
		// Named when that was long ago: accepted, and called cancelled at once.
		time.Sleep(time.Duration(c.deployment.Workers.CancelS) * time.Second)
		late := dependingOn(arrayJob(300, "stage", 2), cut[0], cut[3])
		c.submit(late, 5)
		c.untilCancelled(time.Second, late.ID)
		// A cancellation that is answered with done stops nothing.
		if _, st := c.env.Cancel(whole[1]); st.Phase != protocol.PhaseDone {
			t.Errorf("a finished job that is cancelled is %s", st.Phase)
		}
		// That one of the jobs named is cancelled doesn't make up for one that nobody
		// submitted. (Found on the bench, just after an outage.)
		for _, names := range [][]protocol.JobID{{cut[3], testJobID(999)}, {testJobID(99), cut[3]}, {testJobID(99), whole[0], cut[1]}} {
			c.env.Refused(arrayJob(302, "stage", 1), func(m map[string]any) { m["awaits"] = names }, 422)
		}
		next := dependingOn(arrayJob(301, "stage", 2), whole[1], whole[4])
		c.submit(next, 5)
		c.untilDone(2*time.Minute, next.ID)
		if st := c.env.Submit(late, 5); st != 200 {
			t.Errorf("a cancelled job submitted again gets %d", st)
		}
		c.until("records are cleared", time.Minute, func() bool { return len(c.env.Store.Keys("o/")) == 0 })
	})
}

// What can't be accepted: jobs that were never submitted, names of another form, the
// job itself, lists that are none, and more names than a record holds. A chain can
// hold no cycle, since a job must be accepted before it is named.
func TestDependenciesRefused(t *testing.T) {
	t.Parallel()
	run(t, 61, func(c *testCluster) {
		first := arrayJob(1, "stage", 1)
		c.submit(first, 5)
		many := make([]protocol.JobID, 40)
		for i := range many {
			many[i] = testJobID(1000 + i)
		}
		for _, b := range []struct {
			awaits any
			want   int
		}{
			{[]protocol.JobID{testJobID(999)}, 422}, {[]protocol.JobID{first.ID, testJobID(999)}, 422}, {[]protocol.JobID{testJobID(2)}, 400}, {"req-000001", 400},
			{[]string{"job-1"}, 400}, {[]any{1}, 400}, {[]string{""}, 400}, {map[string]int{}, 400}, {many, 400},
		} {
			c.env.Refused(arrayJob(2, "stage", 1), func(m map[string]any) { m["awaits"] = b.awaits }, b.want)
		}
		second := dependingOn(arrayJob(2, "stage", 1), first.ID, first.ID)
		c.submit(second, 5)
		// Naming the one behind it now: it is known, so its first description stands.
		if st := c.env.Submit(dependingOn(first, second.ID), 5); st != 200 {
			t.Errorf("an accepted job submitted again gets %d", st)
		}
		none := arrayJob(3, "stage", 1)
		none.DependsOn = []protocol.JobID{}
		c.submit(none, 5)
		c.untilDone(3*time.Minute, first.ID, second.ID, none.ID)
	})
}

// A dependency whose records can't be read leaves the job waiting: it neither starts
// nor is forgotten nor called done.
func TestUnreadableDependency(t *testing.T) {
	t.Parallel()
	run(t, 63, func(c *testCluster) {
		c.submit(arrayJob(1, "stage", 1), 5)
		c.submit(arrayJob(2, "stage", 1), 5)
		c.untilDone(2*time.Minute, testJobID(1), testJobID(2))
		c.env.Store.Corrupt(records.FinalKey(testJobID(1)))
		c.restartAll() // nobody remembers it
		c.until("a node leads", time.Minute, func() bool { return c.leader() != "" })
		c.submit(dependingOn(arrayJob(3, "stage", 1), testJobID(1)), 5)
		c.submit(dependingOn(arrayJob(4, "stage", 1), testJobID(2)), 5)
		c.untilDone(2*time.Minute, testJobID(4))
		for range 20 {
			time.Sleep(5 * time.Second)
			if status, st := c.env.Poll(testJobID(3)); status != 200 || st.Phase != protocol.PhaseQueued {
				t.Fatalf("%d %s", status, st.Phase)
			}
		}
		c.env.Cancel(testJobID(3))
	})
}

// The watch misses that a job was submitted, but not the one that waits for it:
// that the leader does not know the first says nothing of its being done.
func TestDependencyEventLost(t *testing.T) {
	t.Parallel()
	run(t, 64, func(c *testCluster) {
		c.env.Store.SetLoseEvent(func(key string) bool { return key == records.OpenKey(testJobID(1)) })
		c.submit(arrayJob(1, "stage", 2), 40)
		c.submit(dependingOn(arrayJob(2, "stage", 1), testJobID(1)), 5)
		c.untilDone(4*time.Minute, testJobID(1), testJobID(2))
	})
}

// Chains go on, and are cancelled, while leaders change at any moment, events are
// lost and transactions are carried out late.
func TestDependenciesThroughFailovers(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(3) {
		run(t, 640+seed, func(c *testCluster) {
			rng := rand.New(rand.NewPCG(seed, 9))
			c.env.Store.SetLoseEvent(func(string) bool { return c.env.Random() < 0.1 })
			c.env.Store.SetLate(c.lateCommits(0.05))
			var whole []protocol.JobID
			for i := range 4 {
				jobIDs := c.pipeline(100 * (i + 1))
				if i%2 == 0 {
					whole = append(whole, jobIDs...)
				} else {
					stage := rng.IntN(4)
					pause := time.Duration(rng.IntN(20)) * time.Second
					go func() {
						time.Sleep(pause)
						c.env.Cancel(jobIDs[stage])
					}()
				}
				time.Sleep(time.Duration(rng.IntN(5)) * time.Second)
				old := c.killLeader()
				time.Sleep(time.Duration(rng.IntN(3)) * time.Second)
				c.boot(old)
			}
			c.env.Store.SetLoseEvent(nil)
			c.env.Store.SetLate(nil)
			c.untilDone(8*time.Minute, whole...)
			c.until("nothing is open", 5*time.Minute, func() bool {
				return !slices.ContainsFunc(c.jobs, func(jobID protocol.JobID) bool {
					p := c.phase(jobID)
					return p == protocol.PhaseQueued || p == protocol.PhaseRunning
				})
			})
		})
	}
}
