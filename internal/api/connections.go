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

func newConnectionTable(most int) *connectionTable {
	return &connectionTable{limit: most, idleSince: map[net.Conn]time.Time{}}
}

// track is the server's hook for changes of its connections.
func (c *connectionTable) track(conn net.Conn, s http.ConnState) {
	if victim := c.record(conn, s, time.Now()); victim != nil {
		victim.Close()
	}
}

func (c *connectionTable) record(conn net.Conn, s http.ConnState, now time.Time) (victim net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		if len(c.idleSince) >= c.limit {
			if victim = c.longestIdle(); victim == nil {
				return conn // all are in use
			}
			delete(c.idleSince, victim)
		}
		c.idleSince[conn] = time.Time{}
	case http.StateActive, http.StateIdle:
		if _, kept := c.idleSince[conn]; !kept {
			return nil // it is being closed
		}
		if s == http.StateActive {
			now = time.Time{}
		}
		c.idleSince[conn] = now
	default:
		delete(c.idleSince, conn)
	}
	return victim
}

func (c *connectionTable) longestIdle() (longest net.Conn) {
	var since time.Time
	for conn, at := range c.idleSince {
		if !at.IsZero() && (longest == nil || at.Before(since)) {
			longest, since = conn, at
		}
	}
	return longest
}
