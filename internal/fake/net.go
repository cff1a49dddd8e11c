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

type cutState struct {
	mode Cut
	over chan struct{}
}

// Network connects hosts by name. It is safe for concurrent use.
type Network struct {
	mu              sync.Mutex
	rng             *rand.Rand
	hosts           map[string]string       // address -> host
	handlers        map[string]http.Handler // address -> handler; absent: refused
	cuts            map[[2]string]*cutState
	inboundLost     map[string]*cutState // hosts that nothing reaches, though they send
	outboundBlocked map[string]bool      // hosts that cannot open connections
	// Delay is how much longer a message takes; nil: none does.
	Delay func(from, to string) time.Duration
	// Repeat makes the network deliver some requests twice, the second time up
	// to so much later, by path.
	Repeat map[string]time.Duration
}

// NewNetwork makes a network without hosts.
func NewNetwork(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]string{},
		handlers: map[string]http.Handler{}, cuts: map[[2]string]*cutState{}, inboundLost: map[string]*cutState{}, outboundBlocked: map[string]bool{}}
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

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Cut cuts two hosts off each other until the returned function is called.
func (n *Network) Cut(a, b string, mode Cut) (mend func()) {
	c := &cutState{mode, make(chan struct{})}
	n.mu.Lock()
	n.cuts[pair(a, b)] = c
	n.mu.Unlock()
	return func() {
		n.mu.Lock()
		if n.cuts[pair(a, b)] == c {
			delete(n.cuts, pair(a, b))
		}
		n.mu.Unlock()
		close(c.over)
	}
}

// DropInbound makes nothing reach a host until the returned function is called; what
// it sends arrives.
func (n *Network) DropInbound(host string) (mend func()) {
	c := &cutState{Hold, make(chan struct{})}
	n.mu.Lock()
	n.inboundLost[host] = c
	n.mu.Unlock()
	return sync.OnceFunc(func() {
		n.mu.Lock()
		delete(n.inboundLost, host)
		n.mu.Unlock()
		close(c.over)
	})
}

// BlockOutbound makes a host unable to open connections until the returned function is
// called; what others send to it arrives, and is answered.
func (n *Network) BlockOutbound(host string) (mend func()) {
	set := func(on bool) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.outboundBlocked[host] = on
	}
	set(true)
	return sync.OnceFunc(func() { set(false) })
}

func (n *Network) float() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}

func (n *Network) cut(a, b string) *cutState {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.cuts[pair(a, b)]; c != nil {
		return c
	}
	return n.inboundLost[b]
}

// travel lets one message pass from a to b: it takes its time and waits out cuts.
func (n *Network) travel(a, b string) error {
	time.Sleep(time.Millisecond + time.Duration(n.float()*float64(4*time.Millisecond)))
	if n.Delay != nil {
		time.Sleep(n.Delay(a, b))
	}
	for {
		c := n.cut(a, b)
		switch {
		case c == nil:
			return nil
		case c.mode == Reset:
			return errors.New("connection reset")
		}
		<-c.over
	}
}

// From is the transport of a host. It stops sending when the host's life ends;
// what was sent before arrives all the same.
func (n *Network) From(life context.Context, host string) http.RoundTripper {
	return transport{n, life, host}
}

type transport struct {
	n    *Network
	life context.Context
	host string
}

type outcome struct {
	resp *http.Response
	err  error
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
	t.n.mu.Lock()
	to, known := t.n.hosts[req.URL.Host]
	mute := t.n.outboundBlocked[t.host]
	t.n.mu.Unlock()
	switch {
	case !known:
		return nil, errors.New("no such host")
	case mute:
		return nil, errors.New("no connection")
	}
	done := make(chan outcome, 1)
	go func() {
		if err := t.n.travel(t.host, to); err != nil {
			done <- outcome{nil, err}
			return
		}
		t.n.mu.Lock()
		h := t.n.handlers[req.URL.Host]
		later, repeats := t.n.Repeat[req.URL.Path]
		again := repeats && t.n.rng.Float64() < 0.2
		t.n.mu.Unlock()
		if h == nil {
			done <- outcome{nil, errors.New("connection refused")}
			return
		}
		rec := t.n.serve(h, req, body, t.host)
		if again && rec.Code == http.StatusOK { // only what was carried out is repeated
			go func() {
				time.Sleep(time.Duration(t.n.float() * float64(later)))
				t.n.mu.Lock()
				h := t.n.handlers[req.URL.Host] // there may be a new process by now
				t.n.mu.Unlock()
				if h != nil {
					t.n.serve(h, req, body, t.host)
				}
			}()
		}
		if err := t.n.travel(to, t.host); err != nil {
			done <- outcome{nil, err}
			return
		}
		done <- outcome{rec.Result(), nil}
	}()
	select {
	case o := <-done:
		return o.resp, o.err
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
		err := n.travel(from, to)
		if err == nil {
			f()
			err = n.travel(to, from)
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
