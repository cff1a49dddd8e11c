package fake

import (
	"slices"
	"strings"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

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
	StoreLimits
	StoreFaults

	// OnCommit is told of every applied commit.
	OnCommit func(transaction *protocol.Transaction)

	mu        sync.Mutex
	revision  protocol.Revision
	keys      map[string]storeEntry
	leases    map[protocol.LeaseID]*storeLease
	nextID    protocol.LeaseID
	changeLog []storeChange
	changed   chan struct{} // closed and replaced at each change
}

// NewStore makes an empty state service.
func NewStore() *Store {
	return &Store{
		StoreLimits: StoreLimits{Refusals: map[int]int{}},
		StoreFaults: StoreFaults{unavailable: map[string]bool{}},
		keys:        map[string]storeEntry{},
		leases:      map[protocol.LeaseID]*storeLease{},
		changed:     make(chan struct{}),
	}
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
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *Store) setKey(key string, entry storeEntry) {
	s.keys[key] = entry
	s.changeLog = append(s.changeLog, storeChange{key, protocol.WatchEvent{Set: key, Value: entry.value, Version: entry.version}})
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
