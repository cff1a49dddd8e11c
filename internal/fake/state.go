package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
)

type storeEntry struct {
	value   msgpack.RawMessage
	version protocol.Version
	lease   protocol.LeaseID
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the state service.
type Store struct {
	mu          sync.Mutex
	revision    protocol.Revision
	keys        map[string]storeEntry
	leases      map[protocol.LeaseID]*storeLease
	nextID      protocol.LeaseID
	changeLog   []storeChange
	changed     chan struct{}
	unavailable map[string]bool // hosts that get 503; "" for all
	// OnCommit is told of every applied commit.
	OnCommit func(c *protocol.Transaction)
	// Limits of a commit; 0 is none. Breaking one is the caller's mistake.
	MaxOps, MaxValue int
	// limitsLowered: the limits have become smaller without notice. Breaking one gets 400,
	// and changes beyond the rate get 429.
	limitsLowered bool
	writeRate     *rate.Limiter
	// requestRate is the limit of requests; nil is none. requestCount counts them all, and
	// throttledCount those beyond the limit.
	requestRate                  *rate.Limiter
	requestCount, throttledCount int
	// Refusals counts what the limits refused, by status.
	Refusals map[int]int
	// LoseReply picks applied commits that are not answered.
	LoseReply func() bool
	// Fault picks what goes wrong with a commit, before its conditions are looked at.
	Fault func(c *protocol.Transaction) Fault
	// Late picks commits that get no answer and are carried out so much later,
	// after newer ones; 0: not this one.
	Late func() time.Duration
	// Slow is how long a call waits before it is worked on, by path.
	Slow func(path string) time.Duration
	// PageMost is how many keys a page of a list has at limit; 0: as many as PROTOCOL says.
	PageMost int
	// LoseEvent picks keys whose changes follow calls do not see.
	LoseEvent func(key string) bool
}

// Fault is what goes wrong with a commit.
type Fault int

// The faults of a commit.
const (
	None        Fault = iota
	AnswerLost        // it is carried out, and its answer is lost
	NotExecuted       // it is lost on its way: neither carried out nor answered
	OverLimit         // it is refused with 400
	Throttled         // it is refused with 429
)

type storeChange struct {
	key   string
	event protocol.WatchEvent
}

// NewStore makes an empty state service.
func NewStore() *Store {
	return &Store{keys: map[string]storeEntry{}, leases: map[protocol.LeaseID]*storeLease{}, changed: make(chan struct{}), unavailable: map[string]bool{}, Refusals: map[int]int{}}
}

// Refuse makes the service answer 503 to a host, or to all with "". When that
// ends, every lease has its full time again.
func (s *Store) Refuse(host string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.unavailable[host] = true
		return
	}
	delete(s.unavailable, host)
	if host == "" {
		for _, l := range s.leases {
			l.expires = time.Now().Add(l.ttl)
		}
	}
}

// Limit makes the limits smaller from now on, without notice.
func (s *Store) Limit(l config.StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limitsLowered = true
	s.MaxOps, s.MaxValue = l.TxnOps, l.ValueBytes()
	s.writeRate = rate.NewLimiter(rate.Limit(l.WriteRPS), int(l.WriteRPS))
}

// LimitRequests sets how many requests a second are served.
func (s *Store) LimitRequests(rps float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestRate = rate.NewLimiter(rate.Limit(rps), int(rps))
}

// Asked is how many requests there were, and how many of them were throttled.
func (s *Store) Asked() (requests, throttled int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCount, s.throttledCount
}

// Put stores a record, as an earlier process would have.
func (s *Store) Put(key string, value any) {
	raw, err := codec.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.setKey(key, storeEntry{value: raw, version: s.revision.Version()})
	s.wakeWatches()
}

// Remove takes a record away.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.deleteKey(key)
	s.wakeWatches()
}

// Corrupt makes the value of a key unreadable for whoever expects a record there.
func (s *Store) Corrupt(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.setKey(key, storeEntry{value: msgpack.RawMessage{0xa3, 'b', 'a', 'd'}, version: s.revision.Version()})
	s.wakeWatches()
}

// Value is the value under a key; nil if there is none.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].value
}

// Keys lists the keys with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

func (s *Store) setKey(key string, e storeEntry) {
	s.keys[key] = e
	s.changeLog = append(s.changeLog, storeChange{key, protocol.WatchEvent{Set: key, Value: e.value, Version: e.version}})
}

func (s *Store) deleteKey(key string) {
	if _, ok := s.keys[key]; ok {
		delete(s.keys, key)
		s.changeLog = append(s.changeLog, storeChange{key, protocol.WatchEvent{Delete: key, Version: s.revision.Version()}})
	}
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends leases that are over; nothing expires while nobody is served.
func (s *Store) expireLeases() {
	if s.unavailable[""] {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id protocol.LeaseID) {
	delete(s.leases, id)
	for k, e := range s.keys {
		if e.lease == id {
			s.revision++
			s.deleteKey(k)
		}
	}
	s.wakeWatches()
}

func writeReply(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	if v != nil {
		b, err := codec.Marshal(v)
		if err != nil {
			panic(err)
		}
		w.Write(b)
	}
}

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

func (s *Store) expireLeaseOnTime(id protocol.LeaseID, ttl time.Duration) {
	for {
		time.Sleep(ttl / 10)
		s.mu.Lock()
		s.expireLeases()
		_, ok := s.leases[id]
		s.mu.Unlock()
		if !ok {
			return
		}
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

// jsonSize is what a value takes as JSON, by the standard library's encoder.
func jsonSize(raw msgpack.RawMessage) int {
	if raw == nil {
		return 0
	}
	var v any
	if err := msgpack.Unmarshal(raw, &v); err != nil {
		panic(err)
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(b)
}

// storeTransaction is a commit as it arrives.
type storeTransaction struct {
	Preconditions []protocol.Precondition `msgpack:"guards"`
	Mutations     []struct {
		Set    string             `msgpack:"set"`
		Value  msgpack.RawMessage `msgpack:"data"`
		Lease  protocol.LeaseID   `msgpack:"permit"`
		Delete string             `msgpack:"delete"`
	} `msgpack:"then"`
}

// withoutValues is the transaction without its values.
func (t *storeTransaction) withoutValues() *protocol.Transaction {
	out := &protocol.Transaction{Preconditions: t.Preconditions}
	for _, mutation := range t.Mutations {
		out.Mutations = append(out.Mutations, protocol.Mutation{Set: mutation.Set, Delete: mutation.Delete})
	}
	return out
}

func (s *Store) commit(w http.ResponseWriter, body []byte) {
	var transaction storeTransaction
	if err := codec.Unmarshal(body, &transaction); err != nil {
		writeReply(w, 400, protocol.ErrorReply{Error: err.Error()})
		return
	}
	fault := None
	if s.Fault != nil {
		fault = s.Fault(transaction.withoutValues())
	}
	switch fault {
	case NotExecuted:
		writeReply(w, 502, nil)
		return
	case OverLimit:
		writeReply(w, 400, protocol.ErrorReply{Error: "beyond the limits"})
		return
	case Throttled:
		writeReply(w, 429, nil)
		return
	}
	const overheadPerKey = 60 // field names, brackets and a version
	size, violation := 0, ""
	for _, precondition := range transaction.Preconditions {
		size += len(precondition.Key) + overheadPerKey
	}
	if s.MaxOps > 0 && (len(transaction.Mutations) > s.MaxOps || len(transaction.Preconditions) > 4*s.MaxOps) {
		violation = fmt.Sprintf("commit of %d changes, %d guards", len(transaction.Mutations), len(transaction.Preconditions))
	}
	for _, mutation := range transaction.Mutations {
		n := jsonSize(mutation.Value)
		size += n + len(mutation.Set) + len(mutation.Delete) + overheadPerKey
		if s.MaxValue > 0 && n > s.MaxValue {
			violation = fmt.Sprintf("value of %d bytes at %s", n, mutation.Set)
		}
		if mutation.Lease != 0 && s.leases[mutation.Lease] == nil {
			writeReply(w, 400, protocol.ErrorReply{Error: protocol.ReasonNoLease})
			return
		}
	}
	if size > 64<<10 || len(body) > 64<<10 {
		violation = fmt.Sprintf("commit of about %d bytes", size)
	}
	switch {
	case violation != "" && !s.limitsLowered:
		panic(violation)
	case violation != "":
		s.Refusals[400]++
		writeReply(w, 400, protocol.ErrorReply{Error: violation})
		return
	case s.writeRate != nil && !s.writeRate.AllowN(time.Now(), len(transaction.Mutations)):
		s.Refusals[429]++
		writeReply(w, 429, nil)
		return
	}
	failed := []string{}
	for _, precondition := range transaction.Preconditions {
		if s.keys[precondition.Key].version != precondition.Version {
			failed = append(failed, precondition.Key)
		}
	}
	if len(failed) > 0 {
		writeReply(w, 409, protocol.TransactionReply{FailedKeys: failed, Revision: s.revision})
		return
	}
	if len(transaction.Mutations) > 0 {
		s.revision++
		for _, mutation := range transaction.Mutations {
			if mutation.Delete != "" {
				s.deleteKey(mutation.Delete)
			} else {
				s.setKey(mutation.Set, storeEntry{slices.Clone(mutation.Value), s.revision.Version(), mutation.Lease})
			}
		}
		s.wakeWatches()
	}
	if s.OnCommit != nil {
		s.OnCommit(transaction.withoutValues())
	}
	if fault == AnswerLost || (s.LoseReply != nil && s.LoseReply()) {
		writeReply(w, 502, nil)
		return
	}
	writeReply(w, 200, protocol.TransactionReply{Revision: s.revision})
}
