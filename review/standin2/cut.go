package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// attemptLimit is how long an attempt to connect through a cut goes on before its sender gives
// it up: the limit that the program under review sets itself.
const attemptLimit = time.Second

// cut is an interruption of all ways between one controller and everything else. What is sent
// on a connection from before the cut gets no answer. An attempt to connect goes on until its
// sender gives up, and completes if the cut ends before that. It is safe for concurrent use.
type cut struct {
	mu     sync.Mutex
	began  time.Time
	healed chan struct{} // closed when the cut ends; nil: no cut
	// attempts gets the path of each request that waits for its attempt to connect.
	attempts chan string
}

func (c *cut) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began, c.healed, c.attempts = time.Now(), make(chan struct{}), make(chan string, 10000)
}

func (c *cut) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.healed != nil {
		close(c.healed)
		c.healed = nil
	}
}

// current returns the channel that is closed at the end of the cut, nil if there is no cut, and
// when the cut began.
func (c *cut) current() (healed chan struct{}, began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.healed, c.began
}

// passes waits while the cut lasts, and reports whether what comes over a connection that was
// opened at the given time arrives.
func (c *cut) passes(ctx context.Context, opened time.Time) bool {
	healed, began := c.current()
	if healed == nil {
		return true
	}
	if opened.Before(began) {
		select {
		case <-healed:
		case <-ctx.Done():
		}
		return false
	}
	select {
	case <-healed:
		return true
	case <-time.After(time.Until(opened.Add(attemptLimit))):
	case <-ctx.Done():
	}
	return false
}

// noteAttempt notes a request whose connection was opened during the cut.
func (c *cut) noteAttempt(path string, opened time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.healed == nil || opened.Before(c.began) {
		return
	}
	select {
	case c.attempts <- path:
	default:
	}
}

// awaitAttempt waits for the next attempt to connect for a request with the path, and reports
// whether there is one within the limit.
func (c *cut) awaitAttempt(path string, limit time.Duration) bool {
	for len(c.attempts) > 0 {
		<-c.attempts
	}
	timeout := time.After(limit)
	for {
		select {
		case attempted := <-c.attempts:
			if attempted == path {
				return true
			}
		case <-timeout:
			return false
		}
	}
}

// openedKey is the key of the context value that says when a connection was opened.
type openedKey struct{}

// listenBehind serves a handler on a free loopback port, behind a cut, and returns the address.
func listenBehind(c *cut, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, openedKey{}, time.Now())
		},
		Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
			opened, _ := request.Context().Value(openedKey{}).(time.Time)
			c.noteAttempt(request.URL.Path, opened)
			if !c.passes(request.Context(), opened) {
				panic(http.ErrAbortHandler) // closes the connection
			}
			handler.ServeHTTP(response, request)
		}),
	}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// forwardBehind forwards connections to an address, behind the cuts of both ends, and returns
// the address to connect to.
func forwardBehind(from, to *cut, target string) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			incoming, err := listener.Accept()
			if err != nil {
				return
			}
			go forward(incoming, target, []*cut{from, to})
		}
	}()
	return listener.Addr().String(), nil
}

// forward connects one connection to the target and copies what passes the cuts.
func forward(incoming net.Conn, target string, cuts []*cut) {
	defer incoming.Close()
	opened := time.Now()
	for _, c := range cuts {
		if !c.passes(context.Background(), opened) {
			return
		}
	}
	outgoing, err := net.DialTimeout("tcp4", target, attemptLimit)
	if err != nil {
		return
	}
	defer outgoing.Close()
	ended := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{incoming, outgoing}, {outgoing, incoming}} {
		go func() {
			copyBehind(way[1], way[0], opened, cuts)
			ended <- struct{}{}
		}()
	}
	<-ended
}

// copyBehind copies until one end closes or a cut begins that the connection does not outlive.
func copyBehind(to io.Writer, from io.Reader, opened time.Time, cuts []*cut) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		for _, c := range cuts {
			if count > 0 && !c.passes(context.Background(), opened) {
				return
			}
		}
		if _, writeErr := to.Write(buffer[:count]); err != nil || writeErr != nil {
			return
		}
	}
}
