package api

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connectionTable bounds the connections that users, workers and health checks hold. When
// there are more than may be, the one longest idle is closed, whose owner then
// makes another when it has something to say: refusing new ones would keep out
// just those who do, for as long as the others hold theirs.
type connectionTable struct {
	limit     int
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time // when it became idle; zero: it is in use
}

func newConnectionTable(limit int) *connectionTable {
	return &connectionTable{limit: limit, idleSince: map[net.Conn]time.Time{}}
}

// track is the server's hook for changes of its connections.
func (c *connectionTable) track(conn net.Conn, state http.ConnState) {
	if evicted := c.record(conn, state, time.Now()); evicted != nil {
		evicted.Close()
	}
}

func (c *connectionTable) record(conn net.Conn, state http.ConnState, now time.Time) (evicted net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(c.idleSince) >= c.limit {
			if evicted = c.longestIdle(); evicted == nil {
				return conn // all are in use
			}
			delete(c.idleSince, evicted)
		}
		c.idleSince[conn] = time.Time{}
	case http.StateActive, http.StateIdle:
		if _, tracked := c.idleSince[conn]; !tracked {
			return nil // it is being closed
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

func (c *connectionTable) longestIdle() (longest net.Conn) {
	var since time.Time
	for conn, idleSince := range c.idleSince {
		if !idleSince.IsZero() && (longest == nil || idleSince.Before(since)) {
			longest, since = conn, idleSince
		}
	}
	return longest
}
