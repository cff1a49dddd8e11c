package api

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connectionTable bounds the connections of users, agents and health checks. A new
// connection beyond the limit evicts the one that has been idle for the longest time; its
// owner connects anew for its next request. To refuse new connections instead would keep
// out those who have a request for as long as the others keep idle connections. It is
// safe for concurrent use.
type connectionTable struct {
	limit     int
	mu        sync.Mutex             // guards idleSince
	idleSince map[net.Conn]time.Time // when the connection became idle; zero: in use
}

func newConnectionTable(limit int) *connectionTable {
	return &connectionTable{limit: limit, idleSince: map[net.Conn]time.Time{}}
}

// track is the HTTP server's hook for state changes of its connections.
func (c *connectionTable) track(conn net.Conn, state http.ConnState) {
	if evicted := c.record(conn, state, time.Now()); evicted != nil {
		evicted.Close()
	}
}

// record notes the state of a connection and returns the connection to close, if any.
func (c *connectionTable) record(conn net.Conn, state http.ConnState, now time.Time) (evicted net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(c.idleSince) >= c.limit {
			if evicted = c.longestIdle(); evicted == nil {
				return conn // all others are in use
			}
			delete(c.idleSince, evicted)
		}
		c.idleSince[conn] = time.Time{}
	case http.StateActive, http.StateIdle:
		if _, tracked := c.idleSince[conn]; !tracked {
			return nil // the connection is being closed
		}
		if state == http.StateActive {
			now = time.Time{}
		}
		c.idleSince[conn] = now
	default:
		delete(c.idleSince, conn)
	}
	return evicted
}

// longestIdle returns the connection that became idle first, nil if all are in use.
func (c *connectionTable) longestIdle() (longest net.Conn) {
	var since time.Time
	for conn, idleSince := range c.idleSince {
		if !idleSince.IsZero() && (longest == nil || idleSince.Before(since)) {
			longest, since = conn, idleSince
		}
	}
	return longest
}
