package server

import (
	"sync"

	"marblehaven/internal/fake"
)

func (c *testCluster) cut(a, b string, mode fake.Cut) func() {
	mend := sync.OnceFunc(c.network.Cut(a, b, mode))
	c.mends = append(c.mends, mend)
	return mend
}

// isolate cuts a host off from all the others given.
func (c *testCluster) isolate(a string, mode fake.Cut, others ...string) func() {
	var mends []func()
	for _, b := range others {
		mends = append(mends, c.cut(a, b, mode))
	}
	return func() {
		for _, m := range mends {
			m()
		}
	}
}

// leaveWorkers cuts a node off from the state service and all other nodes.
func (c *testCluster) leaveWorkers(name string) func() {
	return c.isolate(name, fake.Hold, append(c.others(name), "state")...)
}

// mute makes machines unable to open connections.
func (c *testCluster) mute(machines ...string) {
	for _, m := range machines {
		c.mends = append(c.mends, c.network.BlockOutbound(m))
	}
}

// deafen makes machines hear nothing.
func (c *testCluster) deafen(machines ...string) {
	for _, m := range machines {
		c.mends = append(c.mends, c.network.DropInbound(m))
	}
}

// mend ends the cuts made so far.
func (c *testCluster) mend() {
	for _, mend := range c.mends {
		mend()
	}
	c.mends = nil
}
