package server

import (
	"context"
	"sync"
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

// pollGaps records for each job the longest time between two successful status queries.
type pollGaps struct {
	mu      sync.Mutex
	longest map[protocol.JobID]time.Duration
}

// pollJob queries the status of a job every five seconds, as its user does, until the context
// ends.
func (g *pollGaps) pollJob(ctx context.Context, c *testCluster, jobID protocol.JobID) {
	answered := time.Now()
	for ctx.Err() == nil {
		status, _ := c.env.QueryStatus(jobID)
		g.mu.Lock()
		g.longest[jobID] = max(g.longest[jobID], time.Since(answered))
		g.mu.Unlock()
		if status == 200 {
			answered = time.Now()
		}
		time.Sleep(5 * time.Second)
	}
}

// countLonger returns for how many jobs no status query succeeded for longer than a limit.
func (g *pollGaps) countLonger(limit time.Duration) (count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, gap := range g.longest {
		if gap > limit {
			count++
		}
	}
	return count
}

// TestStatusQueriesBeyondRequestLimit checks that users get answers about every accepted job
// while they send more status queries per second than the key-value store serves requests.
// If each query is a read of its own, some jobs get answers while others get none for
// minutes, as happened with 4,000 machines and the key-value store of a smaller deployment.
func TestStatusQueriesBeyondRequestLimit(t *testing.T) {
	t.Parallel()
	const jobs = 700
	runInDeployment(t, 904, controllerNames, fleetSizeDeployment(), func(c *testCluster) {
		c.exhaustCapacity()
		for i := range jobs {
			c.submit(arrayJob(1+i, "check", 2), 5)
		}
		c.env.Store.LimitRequests(c.deployment.State.RPS)
		gaps := &pollGaps{longest: map[protocol.JobID]time.Duration{}}
		ctx, stop := context.WithTimeout(c.ctx, 4*time.Minute)
		defer stop()
		for i, jobID := range c.jobs {
			go func() {
				time.Sleep(time.Duration(i) * 5 * time.Second / jobs)
				gaps.pollJob(ctx, c, jobID)
			}()
		}
		<-ctx.Done()
		time.Sleep(10 * time.Second)
		if unanswered := gaps.countLonger(75 * time.Second); unanswered > 0 {
			t.Errorf("%d of %d jobs had no answer for 75 s", unanswered, jobs)
		}
	})
}

// TestStatusQueriesAfterOutage checks that users soon get answers about all jobs again, and
// that few requests are throttled, after an outage of the key-value store in which status
// queries accumulated. Hundreds of jobs wait for others, and the rate of the queries is just
// within the store's limit. In an earlier version each throttled call was repeated time after
// time, with all its earlier reads. These calls kept the store busy for minutes, and some jobs
// got no answer for longer than users wait.
func TestStatusQueriesAfterOutage(t *testing.T) {
	t.Parallel()
	dep := testDeployment()
	dep.Teams[0].CoresMax = 2 // one task at a time, so that no job starts beside the first
	runInDeployment(t, 66, controllerNames, dep, func(c *testCluster) {
		const jobs = 300
		c.submit(arrayJob(1, "stage", 2), 1000)
		var dependencies, jobIDs []protocol.JobID
		for i := range 12 {
			job := dependingOn(arrayJob(2+i, "stage", 1), testJobID(1))
			c.submit(job, 5)
			dependencies = append(dependencies, job.ID)
		}
		for i := range jobs {
			job := dependingOn(arrayJob(100+i, "stage", 1), dependencies[i%4], dependencies[4+i%4], dependencies[8+i%4])
			c.submit(job, 5)
			jobIDs = append(jobIDs, job.ID)
		}
		c.env.Store.LimitRequests(120)
		ctx, stop := context.WithCancel(c.ctx)
		for i, jobID := range jobIDs {
			go func() {
				time.Sleep(time.Duration(i) * 5 * time.Second / jobs)
				for ctx.Err() == nil {
					c.env.QueryStatus(jobID)
					time.Sleep(5 * time.Second)
				}
			}()
		}
		time.Sleep(20 * time.Second)
		c.env.Store.SetUnavailable("", true)
		time.Sleep(25 * time.Second)
		c.env.Store.SetUnavailable("", false)
		c.expectStatusAnswers(jobIDs...)
		time.Sleep(20 * time.Second)
		requestsBefore, throttledBefore := c.env.Store.RequestCounts()
		time.Sleep(time.Minute)
		requests, throttled := c.env.Store.RequestCounts()
		requests, throttled = requests-requestsBefore, throttled-throttledBefore
		if throttled > requests/20 {
			t.Errorf("%d of %d requests were throttled long after the outage, want at most a twentieth", throttled, requests)
		}
		stop()
		time.Sleep(10 * time.Second)
	})
}
