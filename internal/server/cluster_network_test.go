package server

import (
	"sync"

	"marblehaven/internal/fake"
)

// cut cuts the link between two hosts until the returned function or heal is called.
func (c *testCluster) cut(hostA, hostB string, mode fake.CutMode) func() {
	heal := sync.OnceFunc(c.network.Cut(hostA, hostB, mode))
	c.healFuncs = append(c.healFuncs, heal)
	return heal
}

// isolate cuts the links between a host and each of the others until the returned function
// or heal is called.
func (c *testCluster) isolate(host string, mode fake.CutMode, others ...string) func() {
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

// isolateFromStoreAndPeers cuts a controller off from the key-value store and from all other
// controllers, so that it reaches only agents, users and the cloud.
func (c *testCluster) isolateFromStoreAndPeers(name string) func() {
	return c.isolate(name, fake.Hold, append(c.others(name), "state")...)
}

// blockOutbound starts a one-way partition until heal is called: the machines receive and
// answer commands, but cannot open connections.
func (c *testCluster) blockOutbound(machines ...string) {
	for _, machine := range machines {
		c.healFuncs = append(c.healFuncs, c.network.BlockOutbound(machine))
	}
}

// holdInbound starts a one-way partition until heal is called: messages of the machines
// arrive, but the machines receive nothing. Messages to the machines arrive once heal is
// called.
func (c *testCluster) holdInbound(machines ...string) {
	for _, machine := range machines {
		c.healFuncs = append(c.healFuncs, c.network.HoldInbound(machine))
	}
}

// heal ends all partitions that cut, isolate, blockOutbound and holdInbound have started.
func (c *testCluster) heal() {
	for _, heal := range c.healFuncs {
		heal()
	}
	c.healFuncs = nil
}
