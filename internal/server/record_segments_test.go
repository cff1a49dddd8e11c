package server

import (
	"slices"
	"strings"
	"testing"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// TestLeaderDiesBetweenRecordSegments kills leaders between the transactions that write, split
// or remove segments of a run record. After each kill the next leader must read the records
// correctly, whichever of these transactions was the last.
func TestLeaderDiesBetweenRecordSegments(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(4) {
		runInDeployment(t, 720+seed, controllerNames, largeArrayDeployment(), func(c *testCluster) {
			c.untilNewFormatUsed(20 * time.Second)
			c.env.Store.LowerLimits(c.deployment.State.StricterLimits())
			var transactions, killed uint64
			killRequests := make(chan struct{}, 12)
			c.env.Store.SetOnCommit(func(txn *protocol.Transaction) {
				c.checkRequiredPreconditions(txn)
				isFurther := func(mutation protocol.Mutation) bool { return isFurtherSegment(mutation.Set + mutation.Delete) }
				if !slices.ContainsFunc(txn.Mutations, isFurther) {
					return
				}
				if transactions++; transactions%3 == seed%3 && killed < 12 {
					killed++
					killRequests <- struct{}{}
				}
			})
			c.env.Store.SetExecutionDelay(c.lateCommits(0.03))
			go func() {
				for {
					select {
					case <-c.ctx.Done():
						return
					case <-killRequests:
					}
					if old := c.killLeader(); old != "" {
						time.Sleep(time.Second)
						c.boot(old)
					}
				}
			}()
			c.env.SetRunTimeIncrement(0.02) // tasks end one after another, so that segments are written many times
			c.submit(largeArray(1, 200), 10)
			c.submit(largeArray(2, 150), 10)
			c.submit(dependingOn(largeArray(3, 70), testJobID(1)), 5)
			c.untilDone(15*time.Minute, testJobID(1), testJobID(2), testJobID(3))
			c.env.Store.SetExecutionDelay(nil)
			c.until("the segments are removed", 3*time.Minute, func() bool { return c.countFurtherSegments() == 0 })
			if killed < 3 {
				t.Errorf("only %d leaders were killed, want at least 3", killed)
			}
		})
	}
}

// TestUnreadableRecordSegment makes one segment of a job's run record undecodable. The next
// leader must start none of the job's tasks until all tasks that the segment could have named
// have certainly ended. The job must complete after that.
func TestUnreadableRecordSegment(t *testing.T) {
	t.Parallel()
	runInDeployment(t, 73, controllerNames, largeArrayDeployment(), func(c *testCluster) {
		c.untilNewFormatUsed(20 * time.Second)
		c.submit(largeArray(1, 120), 60)
		c.until("all 120 tasks run", 4*time.Minute, func() bool { return len(c.env.MachinesOf(testJobID(1))) == 120 })
		c.env.Store.Corrupt(records.SegmentKey(testJobID(1), 2))
		c.killLeader()
		c.expectStatusAnswers(testJobID(1))
		c.untilDone(8*time.Minute, testJobID(1))
	})
}

// TestCancelLargeRecord checks that a job that was accepted under larger limits of the
// key-value store can be cancelled and is closed, although its open record is now too long.
func TestCancelLargeRecord(t *testing.T) {
	t.Parallel()
	runInDeployment(t, 75, controllerNames, largeArrayDeployment(), func(c *testCluster) {
		job := arrayJob(1, strings.Repeat("c", 140), 1)
		for range 20 {
			job.MachineTypes = append(job.MachineTypes, strings.Repeat("t", 140))
		}
		c.env.Register(job)
		c.env.Store.Put(records.OpenKey(job.ID), records.OpenJob{Job: job, AcceptedMS: time.Now().UnixMilli()})
		c.env.Store.LowerLimits(c.deployment.State.StricterLimits())
		if status := c.env.Submit(job, 5); status != 200 {
			t.Errorf("submitting an accepted job again got status %d, want 200", status)
		}
		c.env.Cancel(job.ID)
		c.until("the final record of the job is written", time.Minute, func() bool { return c.env.Store.Value(records.FinalKey(job.ID)) != nil })
	})
}
