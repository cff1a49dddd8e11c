package server

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// after makes a job wait for others.
func after(job protocol.Job, jobIDs ...protocol.JobID) protocol.Job {
	job.DependsOn = jobIDs
	return job
}

// pipeline submits a chain of four stages, the third of which is a gang, one job
// after another, and returns their ids. Numbers count from first.
func (c *testCluster) pipeline(first int) []protocol.JobID {
	c.t.Helper()
	small := func(i, tasks int, priority protocol.Priority) protocol.Job {
		job := arrayJob(first+i, "stage", tasks)
		job.Priority, job.Cores, job.EstimateS = priority, 1, 8
		return job
	}
	join := gangJob(first+3, 2)
	join.GPUs, join.Cores, join.Priority = 0, 2, protocol.PriorityStandard
	last := small(4, 2, protocol.PriorityHigh)
	last.DeadlineS = 200
	jobs := []protocol.Job{
		small(0, 4, protocol.PriorityIdle),
		after(small(1, 6, protocol.PriorityIdle), testJobID(first)),
		after(small(2, 3, protocol.PriorityIdle), testJobID(first)),
		after(join, testJobID(first), testJobID(first+1)),
		after(last, testJobID(first+2), testJobID(first+3)),
	}
	var jobIDs []protocol.JobID
	for _, job := range jobs {
		c.submit(job, 8)
		jobIDs = append(jobIDs, job.ID)
	}
	return jobIDs
}

// untilCancelled waits until the users of all jobs are told that they are cancelled.
func (c *testCluster) untilCancelled(limit time.Duration, jobIDs ...protocol.JobID) {
	c.t.Helper()
	for _, jobID := range jobIDs {
		c.until(string(jobID)+" is cancelled", limit, func() bool { return c.phase(jobID) == protocol.PhaseCancelled })
	}
}

// A pipeline runs in its order; cancelling one of its jobs cancels those behind it
// and no others; what the rules say is judged by the stand-ins.
func TestPipeline(t *testing.T) {
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
		late := after(arrayJob(300, "stage", 2), cut[0], cut[3])
		c.submit(late, 5)
		c.untilCancelled(time.Second, late.ID)
		// A cancellation that is answered with done stops nothing.
		if _, st := c.env.Cancel(whole[1]); st.Phase != protocol.PhaseDone {
			t.Errorf("a finished job withdrawn is %s", st.Phase)
		}
		// That one of the jobs named is cancelled doesn't make up for one that nobody
		// submitted. (Found on the users' bench, just after an outage.)
		for _, names := range [][]protocol.JobID{{cut[3], testJobID(999)}, {testJobID(99), cut[3]}, {testJobID(99), whole[0], cut[1]}} {
			c.env.Refused(arrayJob(302, "stage", 1), func(m map[string]any) { m["awaits"] = names }, 422)
		}
		next := after(arrayJob(301, "stage", 2), whole[1], whole[4])
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
		second := after(arrayJob(2, "stage", 1), first.ID, first.ID)
		c.submit(second, 5)
		// Naming the one behind it now: it is known, so its first description stands.
		if st := c.env.Submit(after(first, second.ID), 5); st != 200 {
			t.Errorf("an accepted job submitted again gets %d", st)
		}
		none := arrayJob(3, "stage", 1)
		none.DependsOn = []protocol.JobID{}
		c.submit(none, 5)
		c.untilDone(3*time.Minute, first.ID, second.ID, none.ID)
	})
}

// No controller calls a job queued that waits for a cancelled one, although there is
// no leader to close it.
func TestCancelledChainWithoutLeader(t *testing.T) {
	dep := testDeployment()
	dep.Teams[0].CoresMax = 2 // the first job never begins beside another
	runIn(t, 62, nodeNames, dep, func(c *testCluster) {
		jobIDs := []protocol.JobID{testJobID(1), testJobID(2), testJobID(3)}
		c.submit(arrayJob(1, "stage", 2), 1000)
		c.submit(after(arrayJob(2, "stage", 1), jobIDs[0]), 5)
		c.submit(after(arrayJob(3, "stage", 1), jobIDs[1]), 5)
		c.leaderless()
		c.env.Cancel(jobIDs[0])
		time.Sleep(time.Duration(dep.Workers.CancelS) * time.Second)
		for _, addr := range slices.Clone(c.env.Nodes) {
			c.env.Asked = []string{addr}
			for _, jobID := range jobIDs {
				if got := c.phase(jobID); got != protocol.PhaseCancelled {
					t.Errorf("%s is %s at %s", jobID, got, addr)
				}
			}
		}
		if c.leader() != "" {
			t.Error("somebody led")
		}
	})
}

// leaderless makes all controllers take a node for the leader that is none.
func (c *testCluster) leaderless() {
	c.t.Helper()
	c.env.Store.Put(records.KeyTerm, records.LeaderRecord{Term: 99, Node: "gone"})
	c.env.Store.Put(records.KeyLeader, records.LeaderRecord{Term: 99, Node: "gone"})
	c.until("nobody leads", time.Minute, func() bool { return c.leader() == "" })
}

// The same at the end of a chain that is far longer, and of one far wider, than what is
// read job by job for an answer.
func TestCancelledLongChainWithoutLeader(t *testing.T) {
	dep := testDeployment()
	dep.Teams[0].CoresMax = 2 // no job begins beside the first
	runIn(t, 65, nodeNames, dep, func(c *testCluster) {
		c.submit(arrayJob(1, "stage", 2), 1000)
		deep, wide := 150, 3
		for i := 2; i <= deep; i++ {
			c.submit(after(arrayJob(i, "stage", 1), testJobID(i-1)), 5)
		}
		before := []protocol.JobID{testJobID(1)}
		for level := range wide {
			var names []protocol.JobID
			for i := range 32 {
				job := after(arrayJob(1000+100*level+i, "stage", 1), before...)
				c.submit(job, 5)
				names = append(names, job.ID)
			}
			before = names
		}
		last := after(arrayJob(2000, "stage", 1), before...)
		c.submit(last, 5)
		c.env.Store.PageMost = 40
		c.leaderless()
		c.env.Cancel(testJobID(1))
		time.Sleep(time.Duration(dep.Workers.CancelS) * time.Second)
		for _, addr := range slices.Clone(c.env.Nodes) {
			c.env.Asked = []string{addr}
			for _, jobID := range []protocol.JobID{testJobID(deep), last.ID, testJobID(deep / 2), before[5]} {
				if got := c.phase(jobID); got != protocol.PhaseCancelled {
					t.Errorf("%s is %s at %s", jobID, got, addr)
				}
			}
		}
	})
}

// Users ask about hundreds of jobs that wait for others, at a rate that the state
// service can just answer, and an outage lets the questions pile up. It is answering
// them all soon after, and throttles few requests: calls that were throttled and made
// again and again, each with all that it had read before, kept it busy for minutes, and
// jobs were forgotten. (Found on the users' bench, at production size.)
func TestQuestionsAtSize(t *testing.T) {
	dep := testDeployment()
	dep.Teams[0].CoresMax = 2 // no job begins beside the first
	runIn(t, 66, nodeNames, dep, func(c *testCluster) {
		const jobs = 300
		c.submit(arrayJob(1, "stage", 2), 1000)
		var names, jobIDs []protocol.JobID
		for i := range 12 {
			job := after(arrayJob(2+i, "stage", 1), testJobID(1))
			c.submit(job, 5)
			names = append(names, job.ID)
		}
		for i := range jobs {
			job := after(arrayJob(100+i, "stage", 1), names[i%4], names[4+i%4], names[8+i%4])
			c.submit(job, 5)
			jobIDs = append(jobIDs, job.ID)
		}
		c.env.Store.LimitRequests(120)
		ctx, stop := context.WithCancel(c.ctx)
		for i, jobID := range jobIDs {
			go func() {
				time.Sleep(time.Duration(i) * 5 * time.Second / jobs)
				for ctx.Err() == nil {
					c.env.Poll(jobID)
					time.Sleep(5 * time.Second)
				}
			}()
		}
		time.Sleep(20 * time.Second)
		c.env.Store.Refuse("", true)
		time.Sleep(25 * time.Second)
		c.env.Store.Refuse("", false)
		c.known(jobIDs...)
		time.Sleep(20 * time.Second)
		requestsBefore, throttledBefore := c.env.Store.Asked()
		time.Sleep(time.Minute)
		requests, throttled := c.env.Store.Asked()
		requests, throttled = requests-requestsBefore, throttled-throttledBefore
		if throttled > requests/20 {
			t.Errorf("%d of %d requests were throttled long after the outage", throttled, requests)
		}
		stop()
		time.Sleep(10 * time.Second)
	})
}

// A dependency whose records can't be read leaves the job waiting: it neither starts
// nor is forgotten nor called done.
func TestUnreadableDependency(t *testing.T) {
	run(t, 63, func(c *testCluster) {
		c.submit(arrayJob(1, "stage", 1), 5)
		c.submit(arrayJob(2, "stage", 1), 5)
		c.untilDone(2*time.Minute, testJobID(1), testJobID(2))
		c.env.Store.Corrupt(records.FinalKey(testJobID(1)))
		c.restartAll() // nobody remembers it
		c.until("a node leads", time.Minute, func() bool { return c.leader() != "" })
		c.submit(after(arrayJob(3, "stage", 1), testJobID(1)), 5)
		c.submit(after(arrayJob(4, "stage", 1), testJobID(2)), 5)
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

// The follow call misses that a job was submitted, but not the one that waits for it:
// that the leader does not know the first says nothing of its being done.
func TestDependencyMissed(t *testing.T) {
	run(t, 64, func(c *testCluster) {
		c.env.Store.LoseEvent = func(key string) bool { return key == records.OpenKey(testJobID(1)) }
		c.submit(arrayJob(1, "stage", 2), 40)
		c.submit(after(arrayJob(2, "stage", 1), testJobID(1)), 5)
		c.untilDone(4*time.Minute, testJobID(1), testJobID(2))
	})
}

// Chains go on, and are cancelled, while leaders change at any moment, events are
// lost and transactions are carried out late.
func TestChainsThroughTakeovers(t *testing.T) {
	for seed := range seeds(3) {
		run(t, 640+seed, func(c *testCluster) {
			rng := rand.New(rand.NewPCG(seed, 9))
			c.env.Store.LoseEvent = func(string) bool { return c.env.Random() < 0.1 }
			c.env.Store.Late = c.lateCommits(0.05)
			var whole []protocol.JobID
			for i := range 4 {
				jobIDs := c.pipeline(100 * (i + 1))
				if i%2 == 0 {
					whole = append(whole, jobIDs...)
				} else {
					k := rng.IntN(4)
					go func() {
						time.Sleep(time.Duration(rng.IntN(20)) * time.Second)
						c.env.Cancel(jobIDs[k])
					}()
				}
				time.Sleep(time.Duration(rng.IntN(5)) * time.Second)
				old := c.killLeader()
				time.Sleep(time.Duration(rng.IntN(3)) * time.Second)
				c.boot(old)
			}
			c.env.Store.LoseEvent, c.env.Store.Late = nil, nil
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
