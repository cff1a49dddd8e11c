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

// At a fleet's size workers alone can hold all sockets of a process. Then the
// connection longest idle goes, and whoever has something to say is served; a
// connection that stays silent does not hold its socket for long.
func TestConnectionsAreBounded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connections := newConnectionTable(3)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: connections.track,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	go server.Serve(listener)
	defer server.Close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		return conn
	}
	served := func(conn net.Conn) bool {
		io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		n, _ := io.ReadAtLeast(conn, make([]byte, 4096), 12)
		return n >= 12
	}
	var held []net.Conn
	for range 5 {
		conn := dial()
		held = append(held, conn)
		if !served(conn) {
			t.Fatal("a new connection is not served while others are idle")
		}
		time.Sleep(5 * time.Millisecond) // its connection is idle by now, and later than the last
	}
	for i, want := range []bool{false, false, true, true, true} {
		if got := served(held[i]); got != want {
			t.Errorf("connection %d is served: %v", i, got)
		}
	}
	connections.mu.Lock()
	n := len(connections.idleSince)
	connections.mu.Unlock()
	if n > 3 {
		t.Errorf("%d connections are held of 3", n)
	}
}

// Where all are in use the new one is closed, and no count is lost.
func TestConnectionsInUseStay(t *testing.T) {
	connections, now := newConnectionTable(1), time.Now()
	first, second := net.Pipe()
	if connections.record(first, http.StateNew, now) != nil || connections.record(second, http.StateNew, now) != second {
		t.Error("the one in use had to go, or none")
	}
	connections.record(second, http.StateClosed, now)
	connections.record(first, http.StateIdle, now)
	if connections.record(second, http.StateNew, now) != first {
		t.Error("the idle one stayed")
	}
	connections.record(first, http.StateActive, now) // says the server, which does not know yet
	connections.record(first, http.StateClosed, now)
	if len(connections.idleSince) != 1 {
		t.Errorf("%d connections are counted", len(connections.idleSince))
	}
}

// A connection that says nothing is closed long before idle ones are.
func TestSilentConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := &config.Config{}
	cfg.Deployment.Workers.ReportS, cfg.Deployment.Limits.Sockets = 5, 1000
	log := slog.New(slog.DiscardHandler)
	go NewServer(cfg, nil, nil, nil, log, httpclient.NewMalformedLog(log)).Serve(t.Context(), listener)
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * tuning.UserDeadline))
	if _, err := io.ReadAll(conn); err != nil {
		t.Errorf("it is still open: %v", err)
	}
}
