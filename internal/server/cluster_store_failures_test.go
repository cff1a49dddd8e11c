package server

import (
	"time"

	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// lateCommits picks a share of the commits to be carried out 2 to 12 s late.
func (c *testCluster) lateCommits(share float64) func() time.Duration {
	return func() time.Duration {
		if c.env.Random() < share {
			return time.Duration((2 + 10*c.env.Random()) * float64(time.Second))
		}
		return 0
	}
}

// faultyCommits makes transactions fail in every way that leaves their outcome unknown,
// or says nothing of an earlier try.
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
		return fake.None
	}
}

// installAbsentLeader makes all controllers believe that a controller leads that does not
// exist, so that nobody leads.
func (c *testCluster) installAbsentLeader() {
	c.t.Helper()
	c.env.Store.Put(records.KeyTerm, records.LeaderRecord{Term: 99, Node: "gone"})
	c.env.Store.Put(records.KeyLeader, records.LeaderRecord{Term: 99, Node: "gone"})
	c.until("nobody leads", time.Minute, func() bool { return c.leader() == "" })
}

// exhaustCapacity makes the cloud refuse all provisioning requests.
func (c *testCluster) exhaustCapacity() {
	for _, typ := range testTypes {
		for _, zone := range typ.Zones {
			c.env.Limit(typ.Name, zone, false, 0)
			c.env.Limit(typ.Name, zone, true, 0)
		}
	}
}
