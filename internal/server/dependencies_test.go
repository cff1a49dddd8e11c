package server

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// TestPipeline checks that the jobs of a pipeline run in the order of their dependencies, and
// that cancelling one of them cancels the jobs that depend on it and no others. The checker
// of package fake compares the order of the starts with the dependencies.
func TestPipeline(t *testing.T) {
	t.Parallel()
	run(t, 60, func(c *testCluster) {
		completed := c.pipeline(100)
		partlyCancelled := c.pipeline(200)
		c.untilDone(3*time.Minute, partlyCancelled[0])
		c.env.Cancel(partlyCancelled[1])
		c.untilCancelled(10*time.Second, partlyCancelled[1], partlyCancelled[3], partlyCancelled[4])
		c.untilDone(3*time.Minute, partlyCancelled[2])
		c.untilDone(5*time.Minute, completed...)
		// A job that depends on a job that was cancelled long before is accepted, and is
		// cancelled at once.
		time.Sleep(time.Duration(c.deployment.Workers.CancelS) * time.Second)
		lateJob := dependingOn(arrayJob(300, "stage", 2), partlyCancelled[0], partlyCancelled[3])
		c.submit(lateJob, 5)
		c.untilCancelled(time.Second, lateJob.ID)
		// Cancelling a finished job changes nothing; the reply reports the job as done.
		if _, jobStatus := c.env.Cancel(completed[1]); jobStatus.Phase != protocol.PhaseDone {
			t.Errorf("a finished job is reported as %s after a cancellation, want done", jobStatus.Phase)
		}
		// A job with a dependency that nobody submitted is refused, even if another of its
		// dependencies is cancelled. This rule was once broken just after an outage.
		for _, dependencies := range [][]protocol.JobID{{partlyCancelled[3], testJobID(999)}, {testJobID(99), partlyCancelled[3]}, {testJobID(99), completed[0], partlyCancelled[1]}} {
			c.env.SubmitInvalid(arrayJob(302, "stage", 1), func(fields map[string]any) { fields["awaits"] = dependencies }, 422)
		}
		next := dependingOn(arrayJob(301, "stage", 2), completed[1], completed[4])
		c.submit(next, 5)
		c.untilDone(2*time.Minute, next.ID)
		if status := c.env.Submit(lateJob, 5); status != 200 {
			t.Errorf("submitting a cancelled job again got status %d, want 200", status)
		}
		c.until("the open records of all jobs are deleted", time.Minute, func() bool { return len(c.env.Store.Keys("o/")) == 0 })
	})
}

// TestDependenciesRefused checks that a job is refused if its dependencies name a job that
// was never submitted or the job itself, contain a malformed ID, are not a list of IDs, or are
// more than a record holds. Dependencies cannot form a cycle, since a job can name only jobs
// that were accepted before it.
func TestDependenciesRefused(t *testing.T) {
	t.Parallel()
	run(t, 61, func(c *testCluster) {
		first := arrayJob(1, "stage", 1)
		c.submit(first, 5)
		tooMany := make([]protocol.JobID, 40)
		for i := range tooMany {
			tooMany[i] = testJobID(1000 + i)
		}
		for _, tc := range []struct {
			awaits any
			want   int
		}{
			{[]protocol.JobID{testJobID(999)}, 422}, {[]protocol.JobID{first.ID, testJobID(999)}, 422}, {[]protocol.JobID{testJobID(2)}, 400}, {"req-000001", 400},
			{[]string{"job-1"}, 400}, {[]any{1}, 400}, {[]string{""}, 400}, {map[string]int{}, 400}, {tooMany, 400},
		} {
			c.env.SubmitInvalid(arrayJob(2, "stage", 1), func(fields map[string]any) { fields["awaits"] = tc.awaits }, tc.want)
		}
		second := dependingOn(arrayJob(2, "stage", 1), first.ID, first.ID)
		c.submit(second, 5)
		// The first job submitted again, now depending on the second, is already accepted:
		// its first description remains in force, so no cycle arises.
		if status := c.env.Submit(dependingOn(first, second.ID), 5); status != 200 {
			t.Errorf("submitting an accepted job again got status %d, want 200", status)
		}
		independent := arrayJob(3, "stage", 1)
		independent.DependsOn = []protocol.JobID{}
		c.submit(independent, 5)
		c.untilDone(3*time.Minute, first.ID, second.ID, independent.ID)
	})
}

// TestUnreadableDependency checks that a job stays queued while the final record of a job that
// it depends on cannot be decoded: it neither starts nor is reported as unknown or done.
func TestUnreadableDependency(t *testing.T) {
	t.Parallel()
	run(t, 63, func(c *testCluster) {
		c.submit(arrayJob(1, "stage", 1), 5)
		c.submit(arrayJob(2, "stage", 1), 5)
		c.untilDone(2*time.Minute, testJobID(1), testJobID(2))
		c.env.Store.Corrupt(records.FinalKey(testJobID(1)))
		c.restartAll() // so that no controller has the final status in memory
		c.until("a controller leads", time.Minute, func() bool { return c.leader() != "" })
		c.submit(dependingOn(arrayJob(3, "stage", 1), testJobID(1)), 5)
		c.submit(dependingOn(arrayJob(4, "stage", 1), testJobID(2)), 5)
		c.untilDone(2*time.Minute, testJobID(4))
		for range 20 {
			time.Sleep(5 * time.Second)
			if status, jobStatus := c.env.QueryStatus(testJobID(3)); status != 200 || jobStatus.Phase != protocol.PhaseQueued {
				t.Fatalf("the job with the unreadable dependency got status %d, phase %q; want 200, queued", status, jobStatus.Phase)
			}
		}
		c.env.Cancel(testJobID(3))
	})
}

// TestDependencyEventLost checks that a job waits for its dependency if the watch has lost the
// event of the dependency's submission but has reported the submission of the job. The leader
// then has no entry for the dependency, which does not prove that the dependency is done.
func TestDependencyEventLost(t *testing.T) {
	t.Parallel()
	run(t, 64, func(c *testCluster) {
		c.env.Store.SetLoseEvent(func(key string) bool { return key == records.OpenKey(testJobID(1)) })
		c.submit(arrayJob(1, "stage", 2), 40)
		c.submit(dependingOn(arrayJob(2, "stage", 1), testJobID(1)), 5)
		c.untilDone(4*time.Minute, testJobID(1), testJobID(2))
	})
}

// TestDependenciesThroughFailovers checks that pipelines complete, and that all jobs of
// pipelines with a cancelled job end, while leaders are killed at random times, watch events
// are lost and transactions are executed late.
func TestDependenciesThroughFailovers(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(3) {
		run(t, 640+seed, func(c *testCluster) {
			rng := rand.New(rand.NewPCG(seed, 9))
			c.env.Store.SetLoseEvent(func(string) bool { return c.env.Random() < 0.1 })
			c.env.Store.SetExecutionDelay(c.lateCommits(0.05))
			var uncancelled []protocol.JobID
			for i := range 4 {
				jobIDs := c.pipeline(100 * (i + 1))
				if i%2 == 0 {
					uncancelled = append(uncancelled, jobIDs...)
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
			c.env.Store.SetExecutionDelay(nil)
			c.untilDone(8*time.Minute, uncancelled...)
			c.until("no job is queued or running", 5*time.Minute, func() bool {
				return !slices.ContainsFunc(c.jobs, func(jobID protocol.JobID) bool {
					phase := c.phase(jobID)
					return phase == protocol.PhaseQueued || phase == protocol.PhaseRunning
				})
			})
		})
	}
}
