package fake

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"marblehaven/internal/protocol"
)

// outageRetryInterval is the interval at which a watch that has timed out checks whether an outage
// is over.
const outageRetryInterval = 100 * time.Millisecond

// watch answers with the changes after a revision as soon as there are any, or with none once the
// waiting time that the caller has set is over.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	number, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	after := protocol.Revision(number)
	holdMS, _ := strconv.Atoi(query.Get("holdMs"))
	timer := time.NewTimer(time.Duration(holdMS) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		reply := s.eventsAfter(after, query.Get("prefix"))
		// During an outage open watches stay open, and answer when it is over.
		if (len(reply.Events) > 0 || timedOut) && !s.isUnavailableTo(r.RemoteAddr) {
			writeReply(w, http.StatusOK, reply)
			return
		}
		timedOut = s.awaitChange(timer, timedOut)
	}
}

// eventsAfter lists the changes after a revision to keys with a prefix.
func (s *Store) eventsAfter(after protocol.Revision, prefix string) protocol.WatchReply {
	reply := protocol.WatchReply{Revision: s.revision, Events: []protocol.WatchEvent{}}
	for _, change := range s.changeLog {
		if change.event.Version.Revision() <= after || !strings.HasPrefix(change.key, prefix) {
			continue
		}
		if s.loseEvent != nil && s.loseEvent(change.key) {
			continue
		}
		reply.Events = append(reply.Events, change.event)
	}
	return reply
}

// awaitChange releases the mutex until a key changes or the timer fires. If the timer has fired
// before, it releases the mutex for outageRetryInterval. It reports whether the timer has fired.
func (s *Store) awaitChange(timer *time.Timer, timedOut bool) bool {
	changed := s.changed
	s.mu.Unlock()
	if timedOut {
		time.Sleep(outageRetryInterval)
	} else {
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		}
	}
	s.mu.Lock()
	s.expireLeases()
	return timedOut
}
