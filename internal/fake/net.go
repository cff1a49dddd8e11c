// Package fake holds stand-ins for the state service, the cloud, workers and
// users, written from PROTOCOL, with a network between them that can be cut and
// that holds and repeats messages. Tests run the real controllers against them
// in synthetic time, and a checker judges each run by the rules.
package fake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
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
func (n *Network) Listen(host, addr string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[addr] = host
	if h == nil {
		delete(n.handlers, addr)
	} else {
		n.handlers[addr] = h
	}
}

func linkKey(hostA, hostB string) [2]string {
	if hostA > hostB {
		hostA, hostB = hostB, hostA
	}
	return [2]string{hostA, hostB}
}

// Cut cuts two hosts off each other until the returned function is called.
func (n *Network) Cut(hostA, hostB string, mode Cut) (heal func()) {
	c := &linkCut{mode, make(chan struct{})}
	n.mu.Lock()
	n.cuts[linkKey(hostA, hostB)] = c
	n.mu.Unlock()
	return func() {
		n.mu.Lock()
		if n.cuts[linkKey(hostA, hostB)] == c {
			delete(n.cuts, linkKey(hostA, hostB))
		}
		n.mu.Unlock()
		close(c.healed)
	}
}

// DropInbound makes nothing reach a host until the returned function is called; what
// it sends arrives.
func (n *Network) DropInbound(host string) (heal func()) {
	c := &linkCut{Hold, make(chan struct{})}
	n.mu.Lock()
	n.inboundBlocked[host] = c
	n.mu.Unlock()
	return sync.OnceFunc(func() {
		n.mu.Lock()
		delete(n.inboundBlocked, host)
		n.mu.Unlock()
		close(c.healed)
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

func (n *Network) randomFloat() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64()
}

func (n *Network) cut(from, to string) *linkCut {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.cuts[linkKey(from, to)]; c != nil {
		return c
	}
	return n.inboundBlocked[to]
}

// awaitDelivery lets one message pass from one host to another: it takes its time and waits out cuts.
func (n *Network) awaitDelivery(from, to string) error {
	time.Sleep(time.Millisecond + time.Duration(n.randomFloat()*float64(4*time.Millisecond)))
	if n.Delay != nil {
		time.Sleep(n.Delay(from, to))
	}
	for {
		c := n.cut(from, to)
		switch {
		case c == nil:
			return nil
		case c.mode == Reset:
			return errors.New("connection reset")
		}
		<-c.healed
	}
}

// From is the transport of a host. It stops sending when the host's life ends;
// what was sent before arrives all the same.
func (n *Network) From(life context.Context, host string) http.RoundTripper {
	return transport{n, life, host}
}

type transport struct {
	network *Network
	life    context.Context
	host    string
}

type roundTripResult struct {
	response *http.Response
	err      error
}

func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.life.Err() != nil {
		return nil, t.life.Err()
	}
	var body []byte
	if req.Body != nil {
		body, _ = io.ReadAll(req.Body)
		req.Body.Close()
	}
	t.network.mu.Lock()
	to, known := t.network.hosts[req.URL.Host]
	outboundBlocked := t.network.outboundBlocked[t.host]
	t.network.mu.Unlock()
	switch {
	case !known:
		return nil, errors.New("no such host")
	case outboundBlocked:
		return nil, errors.New("no connection")
	}
	done := make(chan roundTripResult, 1)
	go func() {
		if err := t.network.awaitDelivery(t.host, to); err != nil {
			done <- roundTripResult{nil, err}
			return
		}
		t.network.mu.Lock()
		h := t.network.handlers[req.URL.Host]
		maxDelay, repeatable := t.network.Repeat[req.URL.Path]
		duplicated := repeatable && t.network.random.Float64() < 0.2
		t.network.mu.Unlock()
		if h == nil {
			done <- roundTripResult{nil, errors.New("connection refused")}
			return
		}
		rec := t.network.serve(h, req, body, t.host)
		if duplicated && rec.Code == http.StatusOK { // only what was carried out is repeated
			go func() {
				time.Sleep(time.Duration(t.network.randomFloat() * float64(maxDelay)))
				t.network.mu.Lock()
				h := t.network.handlers[req.URL.Host] // there may be a new process by now
				t.network.mu.Unlock()
				if h != nil {
					t.network.serve(h, req, body, t.host)
				}
			}()
		}
		if err := t.network.awaitDelivery(to, t.host); err != nil {
			done <- roundTripResult{nil, err}
			return
		}
		done <- roundTripResult{rec.Result(), nil}
	}()
	select {
	case result := <-done:
		return result.response, result.err
	case <-req.Context().Done():
		return nil, req.Context().Err()
	case <-t.life.Done():
		return nil, t.life.Err()
	}
}

func (n *Network) serve(h http.Handler, req *http.Request, body []byte, from string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(req.Method, req.URL.String(), bytes.NewReader(body))
	r.RemoteAddr = from
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec
}

// Call passes a call between peers, with the same cuts as other messages.
func (n *Network) Call(ctx context.Context, from, to string, f func()) error {
	done := make(chan error, 1)
	go func() {
		err := n.awaitDelivery(from, to)
		if err == nil {
			f()
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
