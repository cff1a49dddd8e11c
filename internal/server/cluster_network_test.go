package server

import (
	"sync"

	"marblehaven/internal/fake"
)

func (c *testCluster) cut(a, b string, mode fake.Cut) func() {
	heal := sync.OnceFunc(c.network.Cut(a, b, mode))
	c.heals = append(c.heals, heal)
	return heal
}

// isolate cuts a host off from all the others given.
func (c *testCluster) isolate(a string, mode fake.Cut, others ...string) func() {
	var heals []func()
	for _, b := range others {
		heals = append(heals, c.cut(a, b, mode))
	}
	return func() {
		for _, m := range heals {
			m()
		}
	}
}

// isolateFromStoreAndPeers cuts a node off from the state service and all other nodes.
func (c *testCluster) isolateFromStoreAndPeers(name string) func() {
	return c.isolate(name, fake.Hold, append(c.others(name), "state")...)
}

// blockOutbound makes machines unable to open connections.
func (c *testCluster) blockOutbound(machines ...string) {
	for _, m := range machines {
		c.heals = append(c.heals, c.network.BlockOutbound(m))
	}
}

// dropInbound makes machines hear nothing.
func (c *testCluster) dropInbound(machines ...string) {
	for _, m := range machines {
		c.heals = append(c.heals, c.network.DropInbound(m))
	}
}

// heal ends the cuts made so far.
func (c *testCluster) heal() {
	for _, heal := range c.heals {
		heal()
	}
	c.heals = nil
}
