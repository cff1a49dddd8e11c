package server

import (
	"fmt"
	"time"

	"marblehaven/internal/protocol"
)

// testJobID returns the ID of the job with number n.
func testJobID(n int) protocol.JobID { return protocol.JobID(fmt.Sprintf("req-%06d", n)) }

// arrayJob returns an array job whose tasks may run on spot instances.
func arrayJob(n int, class string, tasks int) protocol.Job {
	return protocol.Job{ID: testJobID(n), Class: class, Team: "red", Kind: protocol.KindArray, Priority: protocol.PriorityStandard, Tasks: tasks,
		Cores: 2, MemGB: 4, Image: "img-1", ImageGB: 1, Spot: true, EstimateS: 20}
}

// largeArray returns an array job of small tasks, so that many of them run at once.
func largeArray(n, tasks int) protocol.Job {
	job := arrayJob(n, "check", tasks)
	job.Cores, job.MemGB = 1, 2
	return job
}

// serviceJob returns a production service whose replicas are spread over the zones.
func serviceJob(n, tasks int) protocol.Job {
	job := arrayJob(n, "front", tasks)
	job.Kind, job.Priority, job.Spread, job.Spot, job.EstimateS, job.Cores = protocol.KindService, protocol.PriorityProduction, true, false, 0, 1
	return job
}

// gangJob returns a gang with checkpoints whose tasks run in one zone.
func gangJob(n, tasks int) protocol.Job {
	job := arrayJob(n, "train", tasks)
	job.Kind, job.Priority, job.OneZone, job.GPUs, job.Cores, job.CheckpointIntervalS, job.CheckpointSaveS = protocol.KindGang, protocol.PriorityHigh, true, 2, 4, 10, 2
	return job
}

// dependingOn returns the job with the given jobs as its dependencies.
func dependingOn(job protocol.Job, jobIDs ...protocol.JobID) protocol.Job {
	job.DependsOn = jobIDs
	return job
}

// submit submits a job that must be accepted; each of its tasks runs for runS seconds.
func (c *testCluster) submit(job protocol.Job, runS float64) {
	c.t.Helper()
	if status := c.env.Submit(job, runS); status != 200 && status != 201 {
		c.t.Fatalf("submission of %s: status %d, want 200 or 201", job.ID, status)
	}
	c.jobs = append(c.jobs, job.ID)
}

// runServicePairs submits n services of two replicas each and waits until all replicas run.
// The returned function lists the machines on which the replicas run at the time of its call.
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
	c.until("all replicas run", 2*time.Minute, func() bool { return len(machines()) == 2*n })
	return machines
}

// runServiceAndArray submits the service req-000001 with two replicas and an array, the job
// req-000002, and waits until both replicas and at least minTasks tasks of the array are on
// machines.
func (c *testCluster) runServiceAndArray(array protocol.Job, runS float64, minTasks int) {
	c.t.Helper()
	c.submit(serviceJob(1, 2), 0)
	c.submit(array, runS)
	c.until(fmt.Sprintf("both replicas and %d tasks of the array run", minTasks), 2*time.Minute, func() bool {
		return len(c.env.MachinesOf("req-000001")) == 2 && len(c.env.MachinesOf("req-000002")) >= minTasks
	})
}

// startWorkload submits two services and two arrays and waits until all their tasks run.
func (c *testCluster) startWorkload() {
	c.t.Helper()
	c.submit(serviceJob(1, 2), 0)
	c.submit(serviceJob(2, 2), 0)
	c.submit(arrayJob(3, "check", 6), 60)
	zoned := arrayJob(4, "check", 4)
	zoned.Zone, zoned.OneZone = "a", true
	c.submit(zoned, 60)
	c.until("all tasks of the workload run", 2*time.Minute, func() bool {
		return len(c.env.MachinesOf("req-000001")) == 2 && len(c.env.MachinesOf("req-000002")) == 2 && len(c.env.MachinesOf("req-000003")) == 6 && len(c.env.MachinesOf("req-000004")) == 4
	})
	time.Sleep(5 * time.Second)
}

// pipeline submits, one after another, the five jobs of a pipeline of four stages, and
// returns their IDs. The second stage has two jobs, and the third is a gang. The IDs are
// numbered from first.
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

// cancelAt cancels a job through one controller and checks that the answer confirms it.
func (c *testCluster) cancelAt(name string, jobID protocol.JobID) {
	c.t.Helper()
	c.env.SetAskedNodes(c.addressOf(name))
	if status, jobStatus := c.env.Cancel(jobID); status != 200 || jobStatus.Phase != protocol.PhaseCancelled {
		c.t.Errorf("cancellation of %s: status %d and phase %q, want 200 and cancelled", jobID, status, jobStatus.Phase)
	}
	c.env.SetAskedNodes()
}

// phase returns the job's phase in the answer to a user's status request.
func (c *testCluster) phase(jobID protocol.JobID) protocol.JobPhase {
	_, jobStatus := c.env.QueryStatus(jobID)
	return jobStatus.Phase
}
