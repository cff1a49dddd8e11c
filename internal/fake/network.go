package fake

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Network connects hosts by name and delivers their HTTP requests. It is safe for concurrent
// use. All random numbers come from one seeded sequence, so the order and number of draws
// decide how a test with a fixed seed plays.
type Network struct {
	mu                 sync.Mutex
	random             *rand.Rand
	hosts              map[string]string       // host by address
	handlers           map[string]http.Handler // handler by address; absent: connections are refused
	cuts               map[[2]string]*linkCut
	inboundBlocked     map[string]*linkCut // hosts that no message reaches
	outboundBlocked    map[string]bool     // hosts that cannot open connections
	delay              func(from, to string) time.Duration
	maxDuplicateDelays map[string]time.Duration // by path
}

// NewNetwork makes a network without hosts.
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

// Listen lets a handler answer at an address. With a nil handler the address refuses connections.
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
// long as the link holds messages. It fails if the link resets connections.
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
			return errors.New("connection reset")
		}
		<-cut.healed
	}
}

// Call makes a call between controllers that does not use HTTP. Messages in both directions
// are subject to the same faults as others.
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
