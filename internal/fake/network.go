package fake

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Network connects hosts by name. It is safe for concurrent use.
type Network struct {
	mu              sync.Mutex
	random          *rand.Rand
	hosts           map[string]string       // address -> host
	handlers        map[string]http.Handler // address -> handler; absent: refused
	cuts            map[[2]string]*linkCut
	inboundBlocked  map[string]*linkCut // hosts that nothing reaches, though they send
	outboundBlocked map[string]bool     // hosts that cannot open connections
	// Delay is how much longer a message takes; nil: none does.
	Delay func(from, to string) time.Duration
	// Repeat makes the network deliver some requests twice, the second time up
	// to so much later, by path.
	Repeat map[string]time.Duration
}

// NewNetwork makes a network without hosts.
func NewNetwork(seed uint64) *Network {
	return &Network{random: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]string{},
		handlers: map[string]http.Handler{}, cuts: map[[2]string]*linkCut{}, inboundBlocked: map[string]*linkCut{}, outboundBlocked: map[string]bool{}}
}

// Listen puts a handler at an address; nil takes it away.
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

func (n *Network) randomFloat() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64()
}

// awaitDelivery lets one message pass from one host to another: it takes its time and waits out cuts.
func (n *Network) awaitDelivery(from, to string) error {
	time.Sleep(time.Millisecond + time.Duration(n.randomFloat()*float64(4*time.Millisecond)))
	if n.Delay != nil {
		time.Sleep(n.Delay(from, to))
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

// Call passes a call between peers, with the same cuts as other messages.
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
