package server

import (
	"sync"

	"marblehaven/internal/fake"
)

// cut partitions two hosts until the returned function or heal is called.
func (c *testCluster) cut(hostA, hostB string, mode fake.Cut) func() {
	heal := sync.OnceFunc(c.network.Cut(hostA, hostB, mode))
	c.heals = append(c.heals, heal)
	return heal
}

// isolate partitions a host from all the others given.
func (c *testCluster) isolate(host string, mode fake.Cut, others ...string) func() {
	var healFuncs []func()
	for _, other := range others {
		healFuncs = append(healFuncs, c.cut(host, other, mode))
	}
	return func() {
		for _, heal := range healFuncs {
			heal()
		}
	}
}

// isolateFromStoreAndPeers cuts a controller off from the key-value store and all other controllers.
func (c *testCluster) isolateFromStoreAndPeers(name string) func() {
	return c.isolate(name, fake.Hold, append(c.others(name), "state")...)
}

// blockOutbound is a one-way partition: machines receive commands, but cannot open
// connections.
func (c *testCluster) blockOutbound(machines ...string) {
	for _, machine := range machines {
		c.heals = append(c.heals, c.network.BlockOutbound(machine))
	}
}

// dropInbound is a one-way partition: machines send, but receive nothing.
func (c *testCluster) dropInbound(machines ...string) {
	for _, machine := range machines {
		c.heals = append(c.heals, c.network.DropInbound(machine))
	}
}

// heal ends the partitions made so far.
func (c *testCluster) heal() {
	for _, heal := range c.heals {
		heal()
	}
	c.heals = nil
}
