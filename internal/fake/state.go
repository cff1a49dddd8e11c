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
	life    time.Duration
	expires time.Time
}

// Store is the state service.
type Store struct {
	mu       sync.Mutex
	revision protocol.Revision
	keys     map[string]storeEntry
	leases   map[protocol.LeaseID]*storeLease
	nextID   protocol.LeaseID
	log      []storeChange
	changed  chan struct{}
	refuse   map[string]bool // hosts that get 503; "" for all
	// OnCommit is told of every applied commit.
	OnCommit func(c *protocol.Transaction)
	// Limits of a commit; 0 is none. Breaking one is the caller's mistake.
	MaxOps, MaxValue int
	// limited: the limits have become smaller without notice. Breaking one gets 400,
	// and changes beyond the rate get 429.
	limited bool
	rate    *rate.Limiter
	// requests is the limit of requests; nil is none. asked counts them all, and
	// throttled those beyond the limit.
	requests         *rate.Limiter
	asked, throttled int
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
	// PageMost is how many keys a page of a list has at most; 0: as many as PROTOCOL says.
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
	key string
	ev  protocol.WatchEvent
}

// NewStore makes an empty state service.
func NewStore() *Store {
	return &Store{keys: map[string]storeEntry{}, leases: map[protocol.LeaseID]*storeLease{}, changed: make(chan struct{}), refuse: map[string]bool{}, Refusals: map[int]int{}}
}

// Refuse makes the service answer 503 to a host, or to all with "". When that
// ends, every lease has its full time again.
func (s *Store) Refuse(host string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.refuse[host] = true
		return
	}
	delete(s.refuse, host)
	if host == "" {
		for _, l := range s.leases {
			l.expires = time.Now().Add(l.life)
		}
	}
}

// Limit makes the limits smaller from now on, without notice.
func (s *Store) Limit(l config.StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limited = true
	s.MaxOps, s.MaxValue = l.TxnOps, l.ValueBytes()
	s.rate = rate.NewLimiter(rate.Limit(l.WriteRPS), int(l.WriteRPS))
}

// LimitRequests sets how many requests a second are served.
func (s *Store) LimitRequests(rps float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = rate.NewLimiter(rate.Limit(rps), int(rps))
}

// Asked is how many requests there were, and how many of them were throttled.
func (s *Store) Asked() (requests, throttled int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked, s.throttled
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
	s.put(key, storeEntry{value: raw, version: s.revision.Version()})
	s.wake()
}

// Remove takes a record away.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.del(key)
	s.wake()
}

// Corrupt makes the value of a key unreadable for whoever expects a record there.
func (s *Store) Corrupt(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, storeEntry{value: msgpack.RawMessage{0xa3, 'b', 'a', 'd'}, version: s.revision.Version()})
	s.wake()
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

func (s *Store) put(key string, e storeEntry) {
	s.keys[key] = e
	s.log = append(s.log, storeChange{key, protocol.WatchEvent{Set: key, Value: e.value, Version: e.version}})
}

func (s *Store) del(key string) {
	if _, ok := s.keys[key]; ok {
		delete(s.keys, key)
		s.log = append(s.log, storeChange{key, protocol.WatchEvent{Delete: key, Version: s.revision.Version()}})
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases that are over; nothing expires while nobody is served.
func (s *Store) expire() {
	if s.refuse[""] {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.end(id)
		}
	}
}

func (s *Store) end(id protocol.LeaseID) {
	delete(s.leases, id)
	for k, e := range s.keys {
		if e.lease == id {
			s.revision++
			s.del(k)
		}
	}
	s.wake()
}

func answer(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	if v != nil {
		b, err := codec.Marshal(v)
		if err != nil {
			panic(err)
		}
		w.Write(b)
	}
}

type epoch struct {
	Epoch protocol.Revision `msgpack:"epoch"`
}

// ServeHTTP answers as PROTOCOL says.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Slow != nil {
		time.Sleep(s.Slow(r.URL.Path))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	down := func() bool { return s.refuse[""] || s.refuse[r.RemoteAddr] }
	if down() {
		answer(w, 503, nil)
		return
	}
	if s.asked++; s.requests != nil && !s.requests.Allow() {
		s.throttled++
		answer(w, 429, nil)
		return
	}
	q := r.URL.Query()
	body, _ := io.ReadAll(r.Body)
	switch path := r.URL.Path; {
	case path == "/keys":
		most, _ := strconv.Atoi(q.Get("most"))
		var keys []string
		for k := range s.keys {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		page := protocol.KeyValuePage{Revision: s.revision, Entries: []protocol.KeyValue{}}
		for _, k := range keys {
			if len(page.Entries) == s.pageSize(most) {
				page.More = true
				break
			}
			page.Entries = append(page.Entries, protocol.KeyValue{Key: k, Value: s.keys[k].value, Version: s.keys[k].version})
		}
		answer(w, 200, page)
	case strings.HasPrefix(path, "/keys/"):
		k := strings.TrimPrefix(path, "/keys/")
		if e, ok := s.keys[k]; ok {
			answer(w, 200, protocol.KeyValue{Key: k, Value: e.value, Version: e.version})
		} else {
			answer(w, 404, epoch{s.revision})
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
				answer(w, 502, nil)
				return
			}
		}
		s.commit(w, body)
	case path == "/grants":
		var g protocol.LeaseRequest
		if err := codec.Unmarshal(body, &g); err != nil {
			panic(err)
		}
		s.nextID++
		life := time.Duration(g.TTLMS) * time.Millisecond
		s.leases[s.nextID] = &storeLease{life, time.Now().Add(life)}
		id := s.nextID
		go s.watchLease(id, life)
		answer(w, 200, protocol.Lease{ID: id})
	case strings.HasSuffix(path, "/touch"):
		number, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
		id := protocol.LeaseID(number)
		if l := s.leases[id]; l != nil {
			l.expires = time.Now().Add(l.life)
			answer(w, 200, protocol.Lease{ID: id})
		} else {
			answer(w, 404, nil)
		}
	case strings.HasPrefix(path, "/grants/"): // DELETE
		number, _ := strconv.ParseUint(strings.TrimPrefix(path, "/grants/"), 10, 64)
		id := protocol.LeaseID(number)
		if s.leases[id] != nil {
			s.end(id)
		}
		answer(w, 200, nil)
	case path == "/follow":
		number, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		after := protocol.Revision(number)
		hold, _ := strconv.Atoi(q.Get("holdMs"))
		until := time.NewTimer(time.Duration(hold) * time.Millisecond)
		defer until.Stop()
		for over := false; ; {
			out := protocol.WatchReply{Revision: s.revision, Events: []protocol.WatchEvent{}}
			for _, c := range s.log {
				if c.ev.Version.Revision() > after && strings.HasPrefix(c.key, q.Get("prefix")) && (s.LoseEvent == nil || !s.LoseEvent(c.key)) {
					out.Events = append(out.Events, c.ev)
				}
			}
			// During an outage open watches stay open.
			if (len(out.Events) > 0 || over) && !down() {
				answer(w, 200, out)
				return
			}
			ch := s.changed
			s.mu.Unlock()
			if over {
				time.Sleep(100 * time.Millisecond)
			} else {
				select {
				case <-ch:
				case <-until.C:
					over = true
				}
			}
			s.mu.Lock()
			s.expire()
		}
	default:
		answer(w, 404, nil)
	}
}

func (s *Store) watchLease(id protocol.LeaseID, life time.Duration) {
	for {
		time.Sleep(life / 10)
		s.mu.Lock()
		s.expire()
		_, ok := s.leases[id]
		s.mu.Unlock()
		if !ok {
			return
		}
	}
}

// pageSize is how many keys a page has if so many are asked for.
func (s *Store) pageSize(most int) int {
	const protocol = 1000
	if s.PageMost > 0 {
		return min(most, s.PageMost)
	}
	return min(most, protocol)
}

// plainSize is what a value takes as JSON, by the standard library's encoder.
func plainSize(raw msgpack.RawMessage) int {
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
	Guards  []protocol.Precondition `msgpack:"guards"`
	Changes []struct {
		Set    string             `msgpack:"set"`
		Value  msgpack.RawMessage `msgpack:"data"`
		Lease  protocol.LeaseID   `msgpack:"permit"`
		Delete string             `msgpack:"delete"`
	} `msgpack:"then"`
}

// keys is the transaction without its values.
func (t *storeTransaction) keys() *protocol.Transaction {
	out := &protocol.Transaction{Preconditions: t.Guards}
	for _, ch := range t.Changes {
		out.Mutations = append(out.Mutations, protocol.Mutation{Set: ch.Set, Delete: ch.Delete})
	}
	return out
}

func (s *Store) commit(w http.ResponseWriter, body []byte) {
	var c storeTransaction
	if err := codec.Unmarshal(body, &c); err != nil {
		answer(w, 400, protocol.ErrorReply{Error: err.Error()})
		return
	}
	fault := None
	if s.Fault != nil {
		fault = s.Fault(c.keys())
	}
	switch fault {
	case NotExecuted:
		answer(w, 502, nil)
		return
	case OverLimit:
		answer(w, 400, protocol.ErrorReply{Error: "beyond the limits"})
		return
	case Throttled:
		answer(w, 429, nil)
		return
	}
	const aroundKey = 60 // field names, brackets and a version
	size, broken := 0, ""
	for _, precondition := range c.Guards {
		size += len(precondition.Key) + aroundKey
	}
	if s.MaxOps > 0 && (len(c.Changes) > s.MaxOps || len(c.Guards) > 4*s.MaxOps) {
		broken = fmt.Sprintf("commit of %d changes, %d guards", len(c.Changes), len(c.Guards))
	}
	for _, ch := range c.Changes {
		n := plainSize(ch.Value)
		size += n + len(ch.Set) + len(ch.Delete) + aroundKey
		if s.MaxValue > 0 && n > s.MaxValue {
			broken = fmt.Sprintf("value of %d bytes at %s", n, ch.Set)
		}
		if ch.Lease != 0 && s.leases[ch.Lease] == nil {
			answer(w, 400, protocol.ErrorReply{Error: protocol.ReasonNoLease})
			return
		}
	}
	if size > 64<<10 || len(body) > 64<<10 {
		broken = fmt.Sprintf("commit of about %d bytes", size)
	}
	switch {
	case broken != "" && !s.limited:
		panic(broken)
	case broken != "":
		s.Refusals[400]++
		answer(w, 400, protocol.ErrorReply{Error: broken})
		return
	case s.rate != nil && !s.rate.AllowN(time.Now(), len(c.Changes)):
		s.Refusals[429]++
		answer(w, 429, nil)
		return
	}
	failed := []string{}
	for _, precondition := range c.Guards {
		if s.keys[precondition.Key].version != precondition.Version {
			failed = append(failed, precondition.Key)
		}
	}
	if len(failed) > 0 {
		answer(w, 409, protocol.TransactionReply{FailedKeys: failed, Revision: s.revision})
		return
	}
	if len(c.Changes) > 0 {
		s.revision++
		for _, ch := range c.Changes {
			if ch.Delete != "" {
				s.del(ch.Delete)
			} else {
				s.put(ch.Set, storeEntry{slices.Clone(ch.Value), s.revision.Version(), ch.Lease})
			}
		}
		s.wake()
	}
	if s.OnCommit != nil {
		s.OnCommit(c.keys())
	}
	if fault == AnswerLost || (s.LoseReply != nil && s.LoseReply()) {
		answer(w, 502, nil)
		return
	}
	answer(w, 200, protocol.TransactionReply{Revision: s.revision})
}
