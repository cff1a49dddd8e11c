package fake

import (
	"sync"
	"time"
)

// CutMode selects what a cut link does to messages.
type CutMode int

const (
	// Hold delays messages until the cut is healed and then delivers them, even if the sender
	// has given up.
	Hold CutMode = iota + 1
	// Reset makes messages fail at once.
	Reset
)

// linkCut is a cut of one link, or of all messages to one host.
type linkCut struct {
	mode   CutMode
	healed chan struct{} // closed when the cut is healed
}

// linkKey returns the same key for both directions of a link.
func linkKey(hostA, hostB string) [2]string {
	if hostA > hostB {
		hostA, hostB = hostB, hostA
	}
	return [2]string{hostA, hostB}
}

// Cut cuts the link between two hosts until the returned function is called.
func (n *Network) Cut(hostA, hostB string, mode CutMode) (heal func()) {
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

// HoldInbound starts a one-way partition: all messages to the host, answers included, are held
// until the returned function is called, while the messages that the host sends arrive.
func (n *Network) HoldInbound(host string) (heal func()) {
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
// function is called, while requests from other hosts arrive and are answered.
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
// longer. The function is called without the network's mutex.
func (n *Network) SetDelay(delay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// currentDelay returns the function for the additional delay of messages, or nil.
func (n *Network) currentDelay() func(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay
}

// SetDuplicates makes some requests on the given paths arrive twice, the second time after a
// random delay of up to the duration given for the path.
func (n *Network) SetDuplicates(maxDelays map[string]time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.maxDuplicateDelays = maxDelays
}

// cut returns the cut that applies to messages from one host to another, or nil.
func (n *Network) cut(from, to string) *linkCut {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut := n.cuts[linkKey(from, to)]; cut != nil {
		return cut
	}
	return n.inboundBlocked[to]
}
