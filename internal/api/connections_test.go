package api

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/tuning"
)

// listen opens a listener on a free local port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// dial connects to a listener and sets a time limit for all reads and writes that follow.
func dial(t *testing.T, listener net.Listener, limit time.Duration) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(limit))
	return conn
}

// served reports whether a request over the connection gets a reply.
func served(conn net.Conn) bool {
	io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	n, _ := io.ReadAtLeast(conn, make([]byte, 4096), 12)
	return n >= 12
}

// In a large cluster the agents alone could hold all sockets of a process. Beyond the
// limit the connection that has been idle for the longest time is evicted, and a new
// connection is served.
func TestConnectionsAreBounded(t *testing.T) {
	listener := listen(t)
	connections := newConnectionTable(3)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: connections.track,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	var conns []net.Conn
	for range 5 {
		conn := dial(t, listener, 10*time.Second)
		conns = append(conns, conn)
		if !served(conn) {
			t.Fatal("a new connection is not served while others are idle")
		}
		time.Sleep(5 * time.Millisecond) // lets the connection become idle, after the one before it
	}
	for i, want := range []bool{false, false, true, true, true} {
		if got := served(conns[i]); got != want {
			t.Errorf("connection %d is served: %v instead of %v", i, got, want)
		}
	}
	connections.mu.Lock()
	tracked := len(connections.idleSince)
	connections.mu.Unlock()
	if tracked > 3 {
		t.Errorf("%d connections are tracked, more than the limit of 3", tracked)
	}
}

// If all connections are in use, a new one is closed, and the number of tracked connections
// stays right.
func TestConnectionsInUseStay(t *testing.T) {
	connections, now := newConnectionTable(1), time.Now()
	first, second := net.Pipe()
	if connections.record(first, http.StateNew, now) != nil || connections.record(second, http.StateNew, now) != second {
		t.Error("the connection in use was evicted, or no connection was closed")
	}
	connections.record(second, http.StateClosed, now)
	connections.record(first, http.StateIdle, now)
	if connections.record(second, http.StateNew, now) != first {
		t.Error("the idle connection was not evicted")
	}
	connections.record(first, http.StateActive, now) // the HTTP server has not closed the evicted connection yet
	connections.record(first, http.StateClosed, now)
	if len(connections.idleSince) != 1 {
		t.Errorf("%d connections are tracked instead of 1", len(connections.idleSince))
	}
}

// A connection that never carries a request is closed when the time limit for request
// headers ends, long before the idle timeout.
func TestSilentConnection(t *testing.T) {
	listener := listen(t)
	cfg := &config.Config{}
	cfg.Deployment.Workers.ReportS, cfg.Deployment.Limits.Sockets = 5, 1000
	log := slog.New(slog.DiscardHandler)
	go NewServer(cfg, nil, nil, nil, log, httpclient.NewMalformedLog(log)).Serve(t.Context(), listener)
	conn := dial(t, listener, 2*tuning.UserDeadline)
	if _, err := io.ReadAll(conn); err != nil {
		t.Errorf("the connection without a request was not closed: %v", err)
	}
}
