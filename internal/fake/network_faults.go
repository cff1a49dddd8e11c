package fake

import (
	"sync"
	"time"
)

// Cut is what a cut link does to messages.
type Cut int

const (
	// Hold delivers messages after the cut is healed, even if the sender gave up.
	Hold Cut = iota + 1
	// Reset fails messages at once.
	Reset
)

// linkCut is a cut of a link, or of everything to one host, until it is healed.
type linkCut struct {
	mode   Cut
	healed chan struct{}
}

// linkKey returns the same key for both directions of a link.
func linkKey(hostA, hostB string) [2]string {
	if hostA > hostB {
		hostA, hostB = hostB, hostA
	}
	return [2]string{hostA, hostB}
}

// Cut cuts the link between two hosts until the returned function is called.
func (n *Network) Cut(hostA, hostB string, mode Cut) (heal func()) {
	cut := &linkCut{mode, make(chan struct{})}
	n.mu.Lock()
	n.cuts[linkKey(hostA, hostB)] = cut
	n.mu.Unlock()
	return func() {
		n.mu.Lock()
		if n.cuts[linkKey(hostA, hostB)] == cut {
			delete(n.cuts, linkKey(hostA, hostB))
		}
		n.mu.Unlock()
		close(cut.healed)
	}
}

// DropInbound starts a one-way partition: nothing reaches the host until the returned function
// is called, while the messages that it sends arrive.
func (n *Network) DropInbound(host string) (heal func()) {
	cut := &linkCut{Hold, make(chan struct{})}
	n.mu.Lock()
	n.inboundBlocked[host] = cut
	n.mu.Unlock()
	return sync.OnceFunc(func() {
		n.mu.Lock()
		delete(n.inboundBlocked, host)
		n.mu.Unlock()
		close(cut.healed)
	})
}

// BlockOutbound starts a one-way partition: the host cannot open connections until the returned
// function is called, while requests of others to it arrive and are answered.
func (n *Network) BlockOutbound(host string) (heal func()) {
	set := func(blocked bool) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.outboundBlocked[host] = blocked
	}
	set(true)
	return sync.OnceFunc(func() { set(false) })
}

// SetDelay sets a function that returns how much longer than usual a message takes; nil: no
// longer. It is called without the network's mutex.
func (n *Network) SetDelay(delay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// currentDelay returns the function that SetDelay has set, or nil.
func (n *Network) currentDelay() func(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay
}

// SetRepeat makes some requests on the given paths arrive twice, the second time later by up
// to the duration given for the path.
func (n *Network) SetRepeat(maxDelays map[string]time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.maxDuplicateDelays = maxDelays
}

// cut returns the cut that a message from one host to another meets, or nil.
func (n *Network) cut(from, to string) *linkCut {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut := n.cuts[linkKey(from, to)]; cut != nil {
		return cut
	}
	return n.inboundBlocked[to]
}
