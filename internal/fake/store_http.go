package fake

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
)

type revisionReply struct {
	Revision protocol.Revision `msgpack:"epoch"`
}

// ServeHTTP answers as PROTOCOL says.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Slow != nil {
		time.Sleep(s.Slow(r.URL.Path))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	unavailable := func() bool { return s.unavailable[""] || s.unavailable[r.RemoteAddr] }
	if unavailable() {
		writeReply(w, 503, nil)
		return
	}
	if s.requestCount++; s.requestRate != nil && !s.requestRate.Allow() {
		s.throttledCount++
		writeReply(w, 429, nil)
		return
	}
	q := r.URL.Query()
	body, _ := io.ReadAll(r.Body)
	switch path := r.URL.Path; {
	case path == "/keys":
		limit, _ := strconv.Atoi(q.Get("most"))
		var keys []string
		for k := range s.keys {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		page := protocol.KeyValuePage{Revision: s.revision, Entries: []protocol.KeyValue{}}
		for _, k := range keys {
			if len(page.Entries) == s.pageSize(limit) {
				page.More = true
				break
			}
			page.Entries = append(page.Entries, protocol.KeyValue{Key: k, Value: s.keys[k].value, Version: s.keys[k].version})
		}
		writeReply(w, 200, page)
	case strings.HasPrefix(path, "/keys/"):
		k := strings.TrimPrefix(path, "/keys/")
		if e, ok := s.keys[k]; ok {
			writeReply(w, 200, protocol.KeyValue{Key: k, Value: e.value, Version: e.version})
		} else {
			writeReply(w, 404, revisionReply{s.revision})
		}
	case path == "/commit":
		if s.Late != nil {
			if d := s.Late(); d > 0 {
				go func() {
					time.Sleep(d)
					s.mu.Lock()
					defer s.mu.Unlock()
					s.commit(httptest.NewRecorder(), body)
				}()
				writeReply(w, 502, nil)
				return
			}
		}
		s.commit(w, body)
	case path == "/grants":
		var request protocol.LeaseRequest
		if err := codec.Unmarshal(body, &request); err != nil {
			panic(err)
		}
		s.nextID++
		ttl := time.Duration(request.TTLMS) * time.Millisecond
		s.leases[s.nextID] = &storeLease{ttl, time.Now().Add(ttl)}
		id := s.nextID
		go s.expireLeaseOnTime(id, ttl)
		writeReply(w, 200, protocol.Lease{ID: id})
	case strings.HasSuffix(path, "/touch"):
		number, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
		id := protocol.LeaseID(number)
		if l := s.leases[id]; l != nil {
			l.expires = time.Now().Add(l.ttl)
			writeReply(w, 200, protocol.Lease{ID: id})
		} else {
			writeReply(w, 404, nil)
		}
	case strings.HasPrefix(path, "/grants/"): // DELETE
		number, _ := strconv.ParseUint(strings.TrimPrefix(path, "/grants/"), 10, 64)
		id := protocol.LeaseID(number)
		if s.leases[id] != nil {
			s.endLease(id)
		}
		writeReply(w, 200, nil)
	case path == "/follow":
		number, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		after := protocol.Revision(number)
		hold, _ := strconv.Atoi(q.Get("holdMs"))
		until := time.NewTimer(time.Duration(hold) * time.Millisecond)
		defer until.Stop()
		for timedOut := false; ; {
			out := protocol.WatchReply{Revision: s.revision, Events: []protocol.WatchEvent{}}
			for _, change := range s.changeLog {
				if change.event.Version.Revision() > after && strings.HasPrefix(change.key, q.Get("prefix")) && (s.LoseEvent == nil || !s.LoseEvent(change.key)) {
					out.Events = append(out.Events, change.event)
				}
			}
			// During an outage open watches stay open.
			if (len(out.Events) > 0 || timedOut) && !unavailable() {
				writeReply(w, 200, out)
				return
			}
			changed := s.changed
			s.mu.Unlock()
			if timedOut {
				time.Sleep(100 * time.Millisecond)
			} else {
				select {
				case <-changed:
				case <-until.C:
					timedOut = true
				}
			}
			s.mu.Lock()
			s.expireLeases()
		}
	default:
		writeReply(w, 404, nil)
	}
}

// pageSize is how many keys a page has if so many are asked for.
func (s *Store) pageSize(limit int) int {
	const protocol = 1000
	if s.PageMost > 0 {
		return min(limit, s.PageMost)
	}
	return min(limit, protocol)
}
