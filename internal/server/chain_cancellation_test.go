package server

import (
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

// TestCancelledDependenciesWithoutLeader checks that every controller reports a job as
// cancelled if the job depends, directly or indirectly, on a cancelled job. There is no
// leader that could close the dependent jobs.
func TestCancelledDependenciesWithoutLeader(t *testing.T) {
	t.Parallel()
	dep := testDeployment()
	dep.Teams[0].CoresMax = 2 // one task at a time, so that no job starts beside the first
	runInDeployment(t, 62, controllerNames, dep, func(c *testCluster) {
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
					t.Errorf("job %s is %s at the controller %s, want cancelled", jobID, got, addr)
				}
			}
		}
		if c.leader() != "" {
			t.Error("a controller leads, but the test requires that none does")
		}
	})
}

// TestCancelledLongDependenciesWithoutLeader checks the same for jobs with far more indirect
// dependencies than a controller reads one by one for a reply (tuning.DependencyReads). Some
// of these jobs are in a long chain, the others in a few wide levels.
func TestCancelledLongDependenciesWithoutLeader(t *testing.T) {
	t.Parallel()
	dep := testDeployment()
	dep.Teams[0].CoresMax = 2 // one task at a time, so that no job starts beside the first
	runInDeployment(t, 65, controllerNames, dep, func(c *testCluster) {
		c.submit(arrayJob(1, "stage", 2), 1000)
		chainLength, levels := 150, 3
		for i := 2; i <= chainLength; i++ {
			c.submit(dependingOn(arrayJob(i, "stage", 1), testJobID(i-1)), 5)
		}
		dependencies := []protocol.JobID{testJobID(1)}
		for level := range levels {
			var jobIDs []protocol.JobID
			for i := range 32 {
				job := dependingOn(arrayJob(1000+100*level+i, "stage", 1), dependencies...)
				c.submit(job, 5)
				jobIDs = append(jobIDs, job.ID)
			}
			dependencies = jobIDs
		}
		last := dependingOn(arrayJob(2000, "stage", 1), dependencies...)
		c.submit(last, 5)
		c.env.Store.SetMaxPageSize(40)
		c.installAbsentLeader()
		c.env.Cancel(testJobID(1))
		time.Sleep(time.Duration(dep.Workers.CancelS) * time.Second)
		for _, addr := range c.env.NodeAddrs() {
			c.env.SetAskedNodes(addr)
			for _, jobID := range []protocol.JobID{testJobID(chainLength), last.ID, testJobID(chainLength / 2), dependencies[5]} {
				if got := c.phase(jobID); got != protocol.PhaseCancelled {
					t.Errorf("job %s is %s at the controller %s, want cancelled", jobID, got, addr)
				}
			}
		}
	})
}
