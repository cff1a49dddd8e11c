package server

import (
	"context"
	"marblehaven/internal/protocol"
	"sync"
	"testing"
	"time"
)

// pollGaps asks about jobs every five seconds, as their users do, until the context ends,
// and notes the longest time for which no question about a job was answered.
type pollGaps struct {
	mu      sync.Mutex
	longest map[protocol.JobID]time.Duration
}

func (g *pollGaps) watch(ctx context.Context, c *testCluster, jobID protocol.JobID) {
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

// More questions a second than the state service answers requests: every accepted job
// stays known all the same. Each question is a read of its own, so that some jobs are
// answered for while others are not for minutes. (Found on the users' bench, with 4,000
// machines and the state service of a smaller deployment.)
func TestQuestionsBeyondRequests(t *testing.T) {
	const jobs = 700
	runIn(t, 904, nodeNames, atFleetSize(), func(c *testCluster) {
		c.noRoom()
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
				gaps.watch(ctx, c, jobID)
			}()
		}
		<-ctx.Done()
		time.Sleep(10 * time.Second)
		forgotten := 0
		for _, gap := range gaps.longest {
			if gap > 75*time.Second {
				forgotten++
			}
		}
		if forgotten > 0 {
			t.Errorf("%d of %d jobs had no answer for 75 s", forgotten, jobs)
		}
	})
}
