package api

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connectionTable limits the number of connections from users, agents and health checks. A
// new connection beyond the limit evicts the connection that has been idle for the longest
// time, and the client of that one opens another for its next request. Refusing new
// connections instead would lock out clients that have a request for as long as other
// clients keep idle connections open. It is safe for concurrent use.
type connectionTable struct {
	limit     int
	mu        sync.Mutex             // guards idleSince
	idleSince map[net.Conn]time.Time // when each connection became idle; zero while it is in use
}

func newConnectionTable(limit int) *connectionTable {
	return &connectionTable{limit: limit, idleSince: map[net.Conn]time.Time{}}
}

// track is the ConnState hook of the HTTP server. It records the new state of a connection
// and closes the connection that is evicted, if any.
func (c *connectionTable) track(conn net.Conn, state http.ConnState) {
	if evicted := c.record(conn, state, time.Now()); evicted != nil {
		evicted.Close()
	}
}

// record stores the new state of a connection and returns the connection to close, or nil.
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

// longestIdle returns the connection that became idle first, or nil if all are in use.
func (c *connectionTable) longestIdle() (longest net.Conn) {
	var since time.Time
	for conn, idleSince := range c.idleSince {
		if !idleSince.IsZero() && (longest == nil || idleSince.Before(since)) {
			longest, since = conn, idleSince
		}
	}
	return longest
}
