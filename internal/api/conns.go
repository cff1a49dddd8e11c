package api

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// conns bounds the connections that users, workers and health checks hold. When
// there are more than may be, the one longest idle is closed, whose owner then
// makes another when it has something to say: refusing new ones would keep out
// just those who do, for as long as the others hold theirs.
type conns struct {
	most int
	mu   sync.Mutex
	idle map[net.Conn]time.Time // when it became idle; zero: it is in use
}

func newConns(most int) *conns { return &conns{most: most, idle: map[net.Conn]time.Time{}} }

// track is the server's hook for changes of its connections.
func (c *conns) track(conn net.Conn, s http.ConnState) {
	if victim := c.note(conn, s, time.Now()); victim != nil {
		victim.Close()
	}
}

func (c *conns) note(conn net.Conn, s http.ConnState, now time.Time) (victim net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		if len(c.idle) >= c.most {
			if victim = c.longestIdle(); victim == nil {
				return conn // all are in use
			}
			delete(c.idle, victim)
		}
		c.idle[conn] = time.Time{}
	case http.StateActive, http.StateIdle:
		if _, kept := c.idle[conn]; !kept {
			return nil // it is being closed
		}
		if s == http.StateActive {
			now = time.Time{}
		}
		c.idle[conn] = now
	default:
		delete(c.idle, conn)
	}
	return victim
}

func (c *conns) longestIdle() (longest net.Conn) {
	var since time.Time
	for conn, at := range c.idle {
		if !at.IsZero() && (longest == nil || at.Before(since)) {
			longest, since = conn, at
		}
	}
	return longest
}
