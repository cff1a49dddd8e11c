package server

import (
	"context"
	"sync"
	"testing"
	"time"

	"marblehaven/internal/protocol"
)

// pollGaps asks about jobs every five seconds, as their users do, until the context ends,
// and notes the longest time for which no question about a job was answered.
type pollGaps struct {
	mu      sync.Mutex
	longest map[protocol.JobID]time.Duration
}

func (g *pollGaps) pollJob(ctx context.Context, c *testCluster, jobID protocol.JobID) {
	answered := time.Now()
	for ctx.Err() == nil {
		status, _ := c.env.Poll(jobID)
		g.mu.Lock()
		g.longest[jobID] = max(g.longest[jobID], time.Since(answered))
		g.mu.Unlock()
		if status == 200 {
			answered = time.Now()
		}
		time.Sleep(5 * time.Second)
	}
}

// countLonger returns for how many jobs no question was answered for longer than a limit.
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

// More questions a second than the key-value store answers requests: every accepted job
// stays known all the same. Each question is a read of its own, so that some jobs are
// answered for while others are not for minutes. (Found on the bench, with 4,000
// machines and the key-value store of a smaller deployment.)
func TestStatusQueriesBeyondRequestLimit(t *testing.T) {
	t.Parallel()
	const jobs = 700
	runIn(t, 904, controllerNames, atFleetSize(), func(c *testCluster) {
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
		if forgotten := gaps.countLonger(75 * time.Second); forgotten > 0 {
			t.Errorf("%d of %d jobs had no answer for 75 s", forgotten, jobs)
		}
	})
}

// Users ask about hundreds of jobs that wait for others, at a rate that the key-value
// store can just answer, and an outage lets the questions pile up. It is answering
// them all soon after, and throttles few requests: calls that were throttled and made
// again and again, each with all that it had read before, kept it busy for minutes, and
// jobs were forgotten. (Found on the bench, at production size.)
func TestStatusQueriesAfterOutage(t *testing.T) {
	t.Parallel()
	dep := testDeployment()
	dep.Teams[0].CoresMax = 2 // no job begins beside the first
	runIn(t, 66, controllerNames, dep, func(c *testCluster) {
		const jobs = 300
		c.submit(arrayJob(1, "stage", 2), 1000)
		var names, jobIDs []protocol.JobID
		for i := range 12 {
			job := dependingOn(arrayJob(2+i, "stage", 1), testJobID(1))
			c.submit(job, 5)
			names = append(names, job.ID)
		}
		for i := range jobs {
			job := dependingOn(arrayJob(100+i, "stage", 1), names[i%4], names[4+i%4], names[8+i%4])
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
		c.expectAnswers(jobIDs...)
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
