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
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newConnectionTable(3)
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: c.track,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	go srv.Serve(ln)
	defer srv.Close()
	open := func() net.Conn {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		return conn
	}
	ask := func(conn net.Conn) bool {
		io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		n, _ := io.ReadAtLeast(conn, make([]byte, 4096), 12)
		return n >= 12
	}
	var held []net.Conn
	for range 5 {
		conn := open()
		held = append(held, conn)
		if !ask(conn) {
			t.Fatal("a new connection is not served while others are idle")
		}
		time.Sleep(5 * time.Millisecond) // its connection is idle by now, and later than the last
	}
	for i, want := range []bool{false, false, true, true, true} {
		if got := ask(held[i]); got != want {
			t.Errorf("connection %d is served: %v", i, got)
		}
	}
	c.mu.Lock()
	n := len(c.idleSince)
	c.mu.Unlock()
	if n > 3 {
		t.Errorf("%d connections are held of 3", n)
	}
}

// Where all are in use the new one is closed, and no count is lost.
func TestConnectionsInUseStay(t *testing.T) {
	c, now := newConnectionTable(1), time.Now()
	a, b := net.Pipe()
	if c.record(a, http.StateNew, now) != nil || c.record(b, http.StateNew, now) != b {
		t.Error("the one in use had to go, or none")
	}
	c.record(b, http.StateClosed, now)
	c.record(a, http.StateIdle, now)
	if c.record(b, http.StateNew, now) != a {
		t.Error("the idle one stayed")
	}
	c.record(a, http.StateActive, now) // says the server, which does not know yet
	c.record(a, http.StateClosed, now)
	if len(c.idleSince) != 1 {
		t.Errorf("%d connections are counted", len(c.idleSince))
	}
}

// A connection that says nothing is closed long before idle ones are.
func TestSilentConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := &config.Config{}
	cfg.Deployment.Workers.ReportS, cfg.Deployment.Limits.Sockets = 5, 1000
	log := slog.New(slog.DiscardHandler)
	go NewServer(cfg, nil, nil, nil, log, httpclient.NewMalformedLog(log)).Serve(t.Context(), ln)
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * tuning.UserDeadline))
	if _, err := io.ReadAll(conn); err != nil {
		t.Errorf("it is still open: %v", err)
	}
}
