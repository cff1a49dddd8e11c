package server

import (
	"slices"
	"time"

	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
)

// slowStoreThenRefusals slows the key-value store down, then makes it refuse the leader and
// a second later all hosts, while users cancel jobs and ask about them.
func slowStoreThenRefusals(c *testCluster, variant uint64) {
	c.startWorkload()
	c.env.Store.SetCallDelay(func(string) time.Duration { return time.Duration(200+variant*500) * time.Millisecond })
	for range 3 {
		go c.env.Cancel("req-000001")
		go c.env.Cancel("req-000003")
		go c.env.QueryStatus("req-000002")
		time.Sleep(700 * time.Millisecond)
	}
	c.env.Store.SetUnavailable(c.leader(), true)
	go c.env.Cancel("req-000004")
	time.Sleep(time.Second)
	c.env.Store.SetUnavailable("", true)
	time.Sleep(50 * time.Second)
}

// quotaLimitAndNewLeader kills the leader while a team is at its quota limit and, by variant,
// a machine with tasks of the team is partitioned, two receive nothing, or one hangs. A user
// then cancels a job.
func quotaLimitAndNewLeader(c *testCluster, variant uint64) {
	c.submit(arrayJob(1, "check", 12), 90)
	c.submit(arrayJob(2, "check", 8), 90)
	c.submit(arrayJob(3, "check", 10), 20) // waits, since its team is at the limit
	c.until("20 tasks run, as many as the quota limit allows", 2*time.Minute, func() bool { return len(c.env.MachinesOf("req-000001"))+len(c.env.MachinesOf("req-000002")) == 20 })
	machines := slices.Compact(c.env.MachinesOf("req-000001"))
	c.env.SetCloudDown(true)
	switch variant {
	case 0:
		c.isolate(machines[0], fake.Hold, c.names...)
	case 1:
		c.holdInbound(machines[:2]...)
	case 2:
		c.healFuncs = append(c.healFuncs, c.env.Hang(machines[0]))
	}
	c.killLeader()
	go c.env.Cancel("req-000001")
	time.Sleep(testLease + 5*time.Second)
	c.heal()
	time.Sleep(20 * time.Second)
}

// moreWorkThanCapacity submits more jobs of all priorities than there is capacity for, and
// delays all messages at random.
func moreWorkThanCapacity(c *testCluster, _ uint64) {
	c.exhaustCapacity()
	for _, zone := range []string{"a", "b"} {
		c.env.LimitCapacity("small", zone, false, 2)
		c.env.LimitCapacity("small", zone, true, 2)
	}
	c.network.SetDelay(func(_, _ string) time.Duration { return time.Duration(c.env.Random()*300) * time.Millisecond })
	for i, priority := range []protocol.Priority{protocol.PriorityIdle, protocol.PriorityStandard, protocol.PriorityHigh, protocol.PriorityIdle, protocol.PriorityStandard, protocol.PriorityHigh} {
		job := arrayJob(1+i, "check", 10)
		job.Priority = priority
		c.submit(job, 15)
	}
	c.submit(serviceJob(7, 2), 0)
	time.Sleep(30 * time.Second)
	go c.env.Cancel("req-000002")
	c.killLeader()
	time.Sleep(30 * time.Second)
}

// requestsAsLastTaskEnds makes users cancel a job, ask about it and submit it again as its
// last task ends.
func requestsAsLastTaskEnds(c *testCluster, variant uint64) {
	c.env.SetOnJobDone(func(jobID protocol.JobID) {
		number := int(jobID[len(jobID)-1] - '0')
		time.Sleep(time.Duration(c.env.Random()*float64(variant+1)*700) * time.Millisecond)
		if number%2 == 0 {
			go c.env.Cancel(jobID)
		}
		go c.env.QueryStatus(jobID)
		go c.env.Submit(c.env.Job(jobID), 1)
	})
	for i := range 8 {
		c.submit(arrayJob(1+i, "check", 1+i%3), float64(10+i))
	}
	time.Sleep(70 * time.Second)
	if variant == 1 {
		c.killLeader()
	}
}

// commitsExecutedLate makes the key-value store answer a fifth of the transactions with a
// gateway error, which leaves their outcome unknown to the senders, and execute them 2 to 12 s
// later.
func commitsExecutedLate(c *testCluster, variant uint64) {
	c.startWorkload()
	c.env.Store.SetExecutionDelay(c.lateCommits(0.2))
	for i := range 6 {
		c.submit(arrayJob(5+i, "check", 3), 8)
	}
	go c.env.Cancel("req-000001")
	go c.env.Cancel("req-000005")
	time.Sleep(20 * time.Second)
	old := c.killLeader()
	time.Sleep(time.Duration(variant) * 700 * time.Millisecond)
	if old != "" {
		c.boot(old)
	}
	time.Sleep(30 * time.Second)
}
