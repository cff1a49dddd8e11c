package server

import (
	"slices"
	"strings"
	"testing"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// A leader that dies after any transaction with which it writes, divides or removes a
// run record leaves a state that the next one reads rightly.
func TestLeaderDiesBetweenRecordSegments(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(4) {
		runIn(t, 720+seed, controllerNames, largeArrayDeployment(), func(c *testCluster) {
			c.untilUpgraded(20 * time.Second)
			c.env.Store.Limit(c.deployment.State.Smaller())
			var transactions, killed uint64
			die := make(chan struct{}, 12)
			c.env.Store.SetOnCommit(func(txn *protocol.Transaction) {
				c.checkPreconditions(txn)
				further := func(mutation protocol.Mutation) bool { return isFurtherSegment(mutation.Set + mutation.Delete) }
				if !slices.ContainsFunc(txn.Mutations, further) {
					return
				}
				if transactions++; transactions%3 == seed%3 && killed < 12 {
					killed++
					die <- struct{}{}
				}
			})
			c.env.Store.SetLate(c.lateCommits(0.03))
			go func() {
				for {
					select {
					case <-c.ctx.Done():
						return
					case <-die:
					}
					if old := c.killLeader(); old != "" {
						time.Sleep(time.Second)
						c.boot(old)
					}
				}
			}()
			c.env.SetUneven(0.02) // so segments are written again and again
			c.submit(largeArray(1, 200), 10)
			c.submit(largeArray(2, 150), 10)
			c.submit(dependingOn(largeArray(3, 70), testJobID(1)), 5)
			c.untilDone(15*time.Minute, testJobID(1), testJobID(2), testJobID(3))
			c.env.Store.SetLate(nil)
			c.until("the segments are removed", 3*time.Minute, func() bool { return c.countFurtherSegments() == 0 })
			if killed < 3 {
				t.Errorf("only %d leaders died", killed)
			}
		})
	}
}

// A segment that can't be read: nothing of the job is started before all that it may
// have named is surely over, and then the job goes on to its end.
func TestUnreadableRecordSegment(t *testing.T) {
	t.Parallel()
	runIn(t, 73, controllerNames, largeArrayDeployment(), func(c *testCluster) {
		c.untilUpgraded(20 * time.Second)
		c.submit(largeArray(1, 120), 60)
		c.until("all run", 4*time.Minute, func() bool { return len(c.env.MachinesOf(testJobID(1))) == 120 })
		c.env.Store.Corrupt(records.SegmentKey(testJobID(1), 2))
		c.killLeader()
		c.expectAnswers(testJobID(1))
		c.untilDone(8*time.Minute, testJobID(1))
	})
}

// Of jobs that were accepted under larger limits, those with long records too can be
// cancelled and are closed.
func TestCancelLargeRecord(t *testing.T) {
	t.Parallel()
	runIn(t, 75, controllerNames, largeArrayDeployment(), func(c *testCluster) {
		job := arrayJob(1, strings.Repeat("c", 140), 1)
		for range 20 {
			job.MachineTypes = append(job.MachineTypes, strings.Repeat("t", 140))
		}
		c.env.Register(job)
		c.env.Store.Put(records.OpenKey(job.ID), records.OpenJob{Job: job, AcceptedMS: time.Now().UnixMilli()})
		c.env.Store.Limit(c.deployment.State.Smaller())
		if st := c.env.Submit(job, 5); st != 200 {
			t.Errorf("an accepted job submitted again gets %d", st)
		}
		c.env.Cancel(job.ID)
		c.until("it is closed", time.Minute, func() bool { return c.env.Store.Value(records.FinalKey(job.ID)) != nil })
	})
}
