package fake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Network connects hosts by name and delivers their HTTP requests. It is safe for concurrent
// use. All random numbers come from one seeded sequence, so the course of a test with a fixed
// seed depends on the order and the number of draws.
type Network struct {
	mu                 sync.Mutex
	random             *rand.Rand
	hosts              map[string]string                   // host by address
	handlers           map[string]http.Handler             // handler by address; absent: connections are refused
	cuts               map[[2]string]*linkCut              // by linkKey
	inboundBlocked     map[string]*linkCut                 // hosts that no message reaches
	outboundBlocked    map[string]bool                     // hosts that cannot open connections
	delay              func(from, to string) time.Duration // in addition to the usual delay
	maxDuplicateDelays map[string]time.Duration            // by path
}

// NewNetwork returns a network without hosts.
func NewNetwork(seed uint64) *Network {
	return &Network{
		random:          rand.New(rand.NewPCG(seed, 1)),
		hosts:           map[string]string{},
		handlers:        map[string]http.Handler{},
		cuts:            map[[2]string]*linkCut{},
		inboundBlocked:  map[string]*linkCut{},
		outboundBlocked: map[string]bool{},
	}
}

// Listen makes a handler answer the requests to an address of a host. With a nil handler the
// address refuses connections.
func (n *Network) Listen(host, addr string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[addr] = host
	if handler == nil {
		delete(n.handlers, addr)
	} else {
		n.handlers[addr] = handler
	}
}

// randomFloat draws the next number between 0 and 1 of the seeded sequence.
func (n *Network) randomFloat() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64()
}

// awaitDelivery blocks for as long as one message takes from one host to another, and for as
// long as a cut holds messages between them. It returns an error if a cut resets connections.
func (n *Network) awaitDelivery(from, to string) error {
	time.Sleep(time.Millisecond + time.Duration(n.randomFloat()*float64(4*time.Millisecond)))
	if delay := n.currentDelay(); delay != nil {
		time.Sleep(delay(from, to))
	}
	for {
		cut := n.cut(from, to)
		switch {
		case cut == nil:
			return nil
		case cut.mode == Reset:
			return fmt.Errorf("connection from %s to %s was reset", from, to)
		}
		<-cut.healed
	}
}

// Call carries a call between controllers that does not use HTTP. Its messages in both directions
// are delayed and cut like those of HTTP. If ctx ends first, call may still run.
func (n *Network) Call(ctx context.Context, from, to string, call func()) error {
	done := make(chan error, 1)
	go func() {
		err := n.awaitDelivery(from, to)
		if err == nil {
			call()
			err = n.awaitDelivery(to, from)
		}
		done <- err
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
