package server

import (
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

// No controller calls a job queued that waits for a cancelled one, although there is
// no leader to close it.
func TestCancelledDependenciesWithoutLeader(t *testing.T) {
	t.Parallel()
	dep := testDeployment()
	dep.Teams[0].CoresMax = 2 // the first job never begins beside another
	runIn(t, 62, controllerNames, dep, func(c *testCluster) {
		jobIDs := []protocol.JobID{testJobID(1), testJobID(2), testJobID(3)}
		c.submit(arrayJob(1, "stage", 2), 1000)
		c.submit(dependingOn(arrayJob(2, "stage", 1), jobIDs[0]), 5)
		c.submit(dependingOn(arrayJob(3, "stage", 1), jobIDs[1]), 5)
		c.installAbsentLeader()
		c.env.Cancel(jobIDs[0])
		time.Sleep(time.Duration(dep.Workers.CancelS) * time.Second)
		for _, addr := range c.env.NodeAddrs() {
			c.env.SetAskedNodes(addr)
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

// The same at the end of a chain that is far longer, and of one far wider, than what is
// read job by job for an answer.
func TestCancelledLongDependenciesWithoutLeader(t *testing.T) {
	t.Parallel()
	dep := testDeployment()
	dep.Teams[0].CoresMax = 2 // no job begins beside the first
	runIn(t, 65, controllerNames, dep, func(c *testCluster) {
		c.submit(arrayJob(1, "stage", 2), 1000)
		deep, wide := 150, 3
		for i := 2; i <= deep; i++ {
			c.submit(dependingOn(arrayJob(i, "stage", 1), testJobID(i-1)), 5)
		}
		before := []protocol.JobID{testJobID(1)}
		for level := range wide {
			var names []protocol.JobID
			for i := range 32 {
				job := dependingOn(arrayJob(1000+100*level+i, "stage", 1), before...)
				c.submit(job, 5)
				names = append(names, job.ID)
			}
			before = names
		}
		last := dependingOn(arrayJob(2000, "stage", 1), before...)
		c.submit(last, 5)
		c.env.Store.SetMaxPageSize(40)
		c.installAbsentLeader()
		c.env.Cancel(testJobID(1))
		time.Sleep(time.Duration(dep.Workers.CancelS) * time.Second)
		for _, addr := range c.env.NodeAddrs() {
			c.env.SetAskedNodes(addr)
			for _, jobID := range []protocol.JobID{testJobID(deep), last.ID, testJobID(deep / 2), before[5]} {
				if got := c.phase(jobID); got != protocol.PhaseCancelled {
					t.Errorf("%s is %s at %s", jobID, got, addr)
				}
			}
		}
	})
}
