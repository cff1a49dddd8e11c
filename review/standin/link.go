//go:build review

package main

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// link is the network between a controller and the state service. While it is cut, it is
// silent: what is sent is lost, and nothing is answered.
type link struct {
	mu  sync.Mutex
	cut bool
}

func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// pass reports whether a message gets through. If the link is cut, pass returns only when
// the sender has given up, and the message is lost.
func (l *link) pass(ctx context.Context) bool {
	if !l.isCut() {
		return true
	}
	<-ctx.Done()
	return false
}

// refuser forwards TCP connections to an address. While it refuses, its own port is closed
// and all of its connections are reset, as by a packet filter between the hosts.
type refuser struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func newRefuser(target string) (*refuser, error) {
	r := &refuser{target: target, conns: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.address, r.listener = listener.Addr().String(), listener
	go r.accept(listener)
	return r, nil
}

// refuse closes the port and resets the connections, or opens the port again.
func (r *refuser) refuse(refused bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if refused {
		r.listener.Close()
		for conn := range r.conns {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		clear(r.conns)
		return nil
	}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.listener = listener
	go r.accept(listener)
	return nil
}

func (r *refuser) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

func (r *refuser) forward(from net.Conn) {
	to, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		from.(*net.TCPConn).SetLinger(0)
		from.Close()
		return
	}
	r.mu.Lock()
	r.conns[from], r.conns[to] = true, true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { io.Copy(to, from); to.Close() })
	both.Go(func() { io.Copy(from, to); from.Close() })
	both.Wait()
	r.mu.Lock()
	delete(r.conns, from)
	delete(r.conns, to)
	r.mu.Unlock()
}
