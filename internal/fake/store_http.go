package fake

import (
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"marblehaven/internal/protocol"
)

// revisionReply answers a read of a key that does not exist.
type revisionReply struct {
	Revision protocol.Revision `msgpack:"epoch"`
}

// ServeHTTP implements the protocol of the key-value store. It first applies the delays, outages
// and rate limits that a test has set.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if delay := s.currentCallDelay(); delay != nil {
		time.Sleep(delay(r.URL.Path))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.isUnavailableTo(r.RemoteAddr) {
		writeReply(w, http.StatusServiceUnavailable, nil)
		return
	}
	if !s.admitRequest() {
		writeReply(w, http.StatusTooManyRequests, nil)
		return
	}
	body, _ := io.ReadAll(r.Body)
	s.route(w, r, body)
}

// route answers a call with the handler for its path. The caller holds the mutex.
func (s *Store) route(w http.ResponseWriter, r *http.Request, body []byte) {
	switch path := r.URL.Path; {
	case path == "/keys":
		s.listKeys(w, r.URL.Query())
	case strings.HasPrefix(path, "/keys/"):
		s.readKey(w, strings.TrimPrefix(path, "/keys/"))
	case path == "/commit":
		s.commitNowOrDelayed(w, body)
	case path == "/grants":
		s.grantLease(w, body)
	case strings.HasSuffix(path, "/touch"):
		s.keepLeaseAlive(w, parseLeaseID(strings.Split(path, "/")[2]))
	case strings.HasPrefix(path, "/grants/"): // the method is DELETE
		s.revokeLease(w, parseLeaseID(strings.TrimPrefix(path, "/grants/")))
	case path == "/follow":
		s.watch(w, r)
	default:
		writeReply(w, http.StatusNotFound, nil)
	}
}

// listKeys answers with a page of the keys with a prefix, in order.
func (s *Store) listKeys(w http.ResponseWriter, query url.Values) {
	limit, _ := strconv.Atoi(query.Get("most"))
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := protocol.KeyValuePage{Revision: s.revision, Entries: []protocol.KeyValue{}}
	for _, key := range keys {
		if len(page.Entries) == s.pageSize(limit) {
			page.More = true
			break
		}
		page.Entries = append(page.Entries, s.keyValue(key))
	}
	writeReply(w, http.StatusOK, page)
}

// readKey answers with the value and version of one key.
func (s *Store) readKey(w http.ResponseWriter, key string) {
	if _, ok := s.keys[key]; !ok {
		writeReply(w, http.StatusNotFound, revisionReply{s.revision})
		return
	}
	writeReply(w, http.StatusOK, s.keyValue(key))
}

// keyValue returns a key with its value and version, in the form that answers contain.
func (s *Store) keyValue(key string) protocol.KeyValue {
	entry := s.keys[key]
	return protocol.KeyValue{Key: key, Value: entry.value, Version: entry.version}
}

// defaultPageSize is the most keys that the protocol allows in a page.
const defaultPageSize = 1000

// pageSize returns how many keys a page holds at most if the caller asks for the given number.
func (s *Store) pageSize(limit int) int {
	if s.maxPageSize > 0 {
		return min(limit, s.maxPageSize)
	}
	return min(limit, defaultPageSize)
}
