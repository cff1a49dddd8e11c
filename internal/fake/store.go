package fake

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
)

type storeEntry struct {
	value   msgpack.RawMessage
	version protocol.Version
	lease   protocol.LeaseID
}

type storeChange struct {
	key   string
	event protocol.WatchEvent
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

// NewStore makes an empty state service.
func NewStore() *Store {
	return &Store{keys: map[string]storeEntry{}, leases: map[protocol.LeaseID]*storeLease{}, changed: make(chan struct{}), unavailable: map[string]bool{}, Refusals: map[int]int{}}
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
