package server

import (
	"time"

	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// lateCommits returns a function for Store.SetExecutionDelay that makes the given share of the
// transactions execute 2 to 12 s late.
func (c *testCluster) lateCommits(share float64) func() time.Duration {
	return func() time.Duration {
		if c.env.Random() < share {
			return time.Duration((2 + 10*c.env.Random()) * float64(time.Second))
		}
		return 0
	}
}

// faultyCommits returns a function for Store.SetFault that makes transactions fail at random
// in every way that leaves their outcome unknown to the sender. This includes refusals: a
// refused attempt was not executed, but an earlier attempt at the same transaction may have
// been.
func (c *testCluster) faultyCommits() func(*protocol.Transaction) fake.Fault {
	return func(*protocol.Transaction) fake.Fault {
		switch p := c.env.Random(); {
		case p < 0.25:
			return fake.AnswerLost
		case p < 0.3:
			return fake.NotExecuted
		case p < 0.4:
			return fake.Throttled
		case p < 0.43:
			return fake.OverLimit
		}
		return fake.NoFault
	}
}

// installAbsentLeader writes a leader record for a controller that does not exist, so that
// the running controllers do not campaign and no controller leads.
func (c *testCluster) installAbsentLeader() {
	c.t.Helper()
	c.env.Store.Put(records.KeyTerm, records.LeaderRecord{Term: 99, Node: "gone"})
	c.env.Store.Put(records.KeyLeader, records.LeaderRecord{Term: 99, Node: "gone"})
	c.until("no controller leads", time.Minute, func() bool { return c.leader() == "" })
}

// exhaustCapacity sets the capacity of all pools to zero, so that the cloud refuses all
// provisioning requests.
func (c *testCluster) exhaustCapacity() {
	for _, typ := range testMachineTypes {
		for _, zone := range typ.Zones {
			c.env.LimitCapacity(typ.Name, zone, false, 0)
			c.env.LimitCapacity(typ.Name, zone, true, 0)
		}
	}
}
