package fake

import (
	"sync"
)

// Cut says what a cut does to messages.
type Cut int

const (
	// Hold delivers messages after the cut, even if the sender gave up.
	Hold Cut = iota + 1
	// Reset refuses at once.
	Reset
)

type linkCut struct {
	mode   Cut
	healed chan struct{}
}

func linkKey(hostA, hostB string) [2]string {
	if hostA > hostB {
		hostA, hostB = hostB, hostA
	}
	return [2]string{hostA, hostB}
}

// Cut cuts two hosts off each other until the returned function is called.
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

// DropInbound makes nothing reach a host until the returned function is called; what
// it sends arrives.
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

// BlockOutbound makes a host unable to open connections until the returned function is
// called; what others send to it arrives, and is answered.
func (n *Network) BlockOutbound(host string) (heal func()) {
	set := func(on bool) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.outboundBlocked[host] = on
	}
	set(true)
	return sync.OnceFunc(func() { set(false) })
}

func (n *Network) cut(from, to string) *linkCut {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut := n.cuts[linkKey(from, to)]; cut != nil {
		return cut
	}
	return n.inboundBlocked[to]
}
