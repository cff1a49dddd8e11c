package server

import (
	"fmt"
	"time"

	"marblehaven/internal/protocol"
)

// testJobID returns the ID of the nth job of a scenario.
func testJobID(n int) protocol.JobID { return protocol.JobID(fmt.Sprintf("req-%06d", n)) }

// arrayJob is an array of tasks on spot instances.
func arrayJob(n int, class string, tasks int) protocol.Job {
	return protocol.Job{ID: testJobID(n), Class: class, Team: "red", Kind: protocol.KindArray, Priority: protocol.PriorityStandard, Tasks: tasks,
		Cores: 2, MemGB: 4, Image: "img-1", ImageGB: 1, Spot: true, EstimateS: 20}
}

// largeArray is a large array of small tasks.
func largeArray(n, tasks int) protocol.Job {
	job := arrayJob(n, "check", tasks)
	job.Cores, job.MemGB = 1, 2
	return job
}

// serviceJob is a production service whose replicas are spread over the zones.
func serviceJob(n, tasks int) protocol.Job {
	job := arrayJob(n, "front", tasks)
	job.Kind, job.Priority, job.Spread, job.Spot, job.EstimateS, job.Cores = protocol.KindService, protocol.PriorityProduction, true, false, 0, 1
	return job
}

// gangJob is a gang with checkpoints, in one zone.
func gangJob(n, tasks int) protocol.Job {
	job := arrayJob(n, "train", tasks)
	job.Kind, job.Priority, job.OneZone, job.GPUs, job.Cores, job.CheckpointIntervalS, job.CheckpointSaveS = protocol.KindGang, protocol.PriorityHigh, true, 2, 4, 10, 2
	return job
}

// dependingOn makes a job wait for others.
func dependingOn(job protocol.Job, jobIDs ...protocol.JobID) protocol.Job {
	job.DependsOn = jobIDs
	return job
}

// submit submits a job that must be accepted; each of its tasks runs for runS seconds.
func (c *testCluster) submit(job protocol.Job, runS float64) {
	c.t.Helper()
	if status := c.env.Submit(job, runS); status != 200 && status != 201 {
		c.t.Fatalf("%s: submission got %d", job.ID, status)
	}
	c.jobs = append(c.jobs, job.ID)
}

// runServicePairs submits services of two replicas each and waits until all run; the result
// lists the machines that they are on.
func (c *testCluster) runServicePairs(n int) func() []string {
	c.t.Helper()
	jobIDs := make([]protocol.JobID, n)
	for i := range jobIDs {
		job := serviceJob(1+i, 2)
		jobIDs[i] = job.ID
		c.submit(job, 0)
	}
	machines := func() (running []string) {
		for _, jobID := range jobIDs {
			running = append(running, c.env.MachinesOf(jobID)...)
		}
		return running
	}
	c.until("all run", 2*time.Minute, func() bool { return len(machines()) == 2*n })
	return machines
}

// startWorkload submits two services and two arrays and waits until they run.
func (c *testCluster) startWorkload() {
	c.t.Helper()
	c.submit(serviceJob(1, 2), 0)
	c.submit(serviceJob(2, 2), 0)
	c.submit(arrayJob(3, "check", 6), 60)
	zoned := arrayJob(4, "check", 4)
	zoned.Zone, zoned.OneZone = "a", true
	c.submit(zoned, 60)
	c.until("all run", 2*time.Minute, func() bool {
		return len(c.env.MachinesOf("req-000001")) == 2 && len(c.env.MachinesOf("req-000002")) == 2 && len(c.env.MachinesOf("req-000003")) == 6 && len(c.env.MachinesOf("req-000004")) == 4
	})
	time.Sleep(5 * time.Second)
}

// pipeline submits a chain of four stages, the third of which is a gang, one job
// after another, and returns their ids. Numbers count from first.
func (c *testCluster) pipeline(first int) []protocol.JobID {
	c.t.Helper()
	arrayStage := func(offset, tasks int, priority protocol.Priority) protocol.Job {
		job := arrayJob(first+offset, "stage", tasks)
		job.Priority, job.Cores, job.EstimateS = priority, 1, 8
		return job
	}
	gang := gangJob(first+3, 2)
	gang.GPUs, gang.Cores, gang.Priority = 0, 2, protocol.PriorityStandard
	last := arrayStage(4, 2, protocol.PriorityHigh)
	last.DeadlineS = 200
	jobs := []protocol.Job{
		arrayStage(0, 4, protocol.PriorityIdle),
		dependingOn(arrayStage(1, 6, protocol.PriorityIdle), testJobID(first)),
		dependingOn(arrayStage(2, 3, protocol.PriorityIdle), testJobID(first)),
		dependingOn(gang, testJobID(first), testJobID(first+1)),
		dependingOn(last, testJobID(first+2), testJobID(first+3)),
	}
	var jobIDs []protocol.JobID
	for _, job := range jobs {
		c.submit(job, 8)
		jobIDs = append(jobIDs, job.ID)
	}
	return jobIDs
}

// cancelAt cancels a job at one controller and checks that it is told so.
func (c *testCluster) cancelAt(name string, jobID protocol.JobID) {
	c.t.Helper()
	c.env.SetAskedNodes(c.addressOf(name))
	if status, jobStatus := c.env.Cancel(jobID); status != 200 || jobStatus.Phase != protocol.PhaseCancelled {
		c.t.Errorf("cancelling %s: %d %q", jobID, status, jobStatus.Phase)
	}
	c.env.SetAskedNodes()
}

// phase returns the phase that a user of the job is told.
func (c *testCluster) phase(jobID protocol.JobID) protocol.JobPhase {
	_, jobStatus := c.env.Poll(jobID)
	return jobStatus.Phase
}
