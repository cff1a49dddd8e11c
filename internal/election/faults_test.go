package election_test

import (
	"math/rand/v2"
	"sync"
	"time"

	"marblehaven/internal/fake"
)

// faults makes the network, the store and the nodes fail at random.
type faults struct {
	cluster *cluster

	mu     sync.Mutex // the store calls the hooks from several goroutines
	rng    *rand.Rand
	active bool // whether the store fails
}

// newFaults installs hooks that make the store of a cluster fail while run is in progress.
func newFaults(c *cluster, seed uint64) *faults {
	f := &faults{cluster: c, rng: rand.New(rand.NewPCG(seed, 9))}
	c.store.SetLoseReply(func() bool { return f.storeFails(10) })
	c.store.SetExecutionDelay(func() time.Duration {
		if f.storeFails(6) {
			return time.Duration(f.intN(10000)) * time.Millisecond
		}
		return 0
	})
	c.store.SetCallDelay(func(string) time.Duration {
		if f.storeFails(20) {
			return time.Duration(f.intN(3000)) * time.Millisecond
		}
		return 0
	})
	return f
}

func (f *faults) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// storeFails reports whether a request is to fail: one in oneIn at random while faults are
// active.
func (f *faults) storeFails(oneIn int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active && f.rng.IntN(oneIn) == 0
}

func (f *faults) setActive(active bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = active
}

// run injects faults for the given time, and has ended all of them when it returns.
func (f *faults) run(nodes []*node, duration time.Duration) {
	f.setActive(true)
	defer f.setActive(false)
	for start := time.Now(); time.Since(start) < duration; {
		f.injectOne(nodes[f.intN(len(nodes))], nodes)
		time.Sleep(time.Duration(f.intN(1500)) * time.Millisecond)
	}
}

// injectOne injects one fault at a node and ends it.
func (f *faults) injectOne(n *node, nodes []*node) {
	duration := time.Duration(f.intN(4000)) * time.Millisecond
	switch f.intN(5) {
	case 0:
		n.candidate.Resign()
	case 1: // a peer reports the last leader that it observed
		if leader, known := nodes[f.intN(len(nodes))].candidate.Leader(); known {
			n.candidate.ObserveTerm(leader)
		}
	case 2:
		heal := f.cluster.network.BlockOutbound(n.name)
		time.Sleep(duration)
		heal()
	case 3:
		heal := f.cluster.network.Cut(n.name, "store", fake.Hold)
		time.Sleep(duration)
		heal()
	case 4:
		heal := f.cluster.network.Cut(n.name, "store", fake.Reset)
		time.Sleep(duration)
		heal()
	}
}
