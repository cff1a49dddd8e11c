package fake

import (
	"slices"
	"strings"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
)

// storeEntry is the value of a key with its version, and the lease it is bound to, if any.
type storeEntry struct {
	value   msgpack.RawMessage
	version protocol.Version
	lease   protocol.LeaseID
}

// storeChange is a change of one key, as watches see it.
type storeChange struct {
	key   string
	event protocol.WatchEvent
}

// Store simulates the key-value store: versioned keys, transactions with preconditions, leases
// and watches, over the HTTP interface of the protocol.
type Store struct {
	StoreLimits
	StoreFaults

	// OnCommit is called after every transaction that was carried out.
	OnCommit func(transaction *protocol.Transaction)

	mu        sync.Mutex
	revision  protocol.Revision
	keys      map[string]storeEntry
	leases    map[protocol.LeaseID]*storeLease
	nextID    protocol.LeaseID
	changeLog []storeChange
	changed   chan struct{} // closed and replaced at each change
}

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{
		StoreLimits: StoreLimits{Refusals: map[int]int{}},
		StoreFaults: StoreFaults{unavailable: map[string]bool{}},
		keys:        map[string]storeEntry{},
		leases:      map[protocol.LeaseID]*storeLease{},
		changed:     make(chan struct{}),
	}
}

// Put stores a record directly, as an earlier process would have left it.
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

// Remove deletes a key directly.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.deleteKey(key)
	s.wakeWatches()
}

// Corrupt replaces the value of a key by one that cannot be decoded as a record.
func (s *Store) Corrupt(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.setKey(key, storeEntry{value: msgpack.RawMessage{0xa3, 'b', 'a', 'd'}, version: s.revision.Version()})
	s.wakeWatches()
}

// Value returns the value of a key, or nil if there is none.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].value
}

// Keys lists the keys with a prefix, in order.
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

// setKey sets a key and records the change for watches. The caller has advanced the revision.
func (s *Store) setKey(key string, entry storeEntry) {
	s.keys[key] = entry
	s.changeLog = append(s.changeLog, storeChange{key, protocol.WatchEvent{Set: key, Value: entry.value, Version: entry.version}})
}

// deleteKey deletes a key, if there is one, and records the change for watches. The caller has
// advanced the revision.
func (s *Store) deleteKey(key string) {
	if _, ok := s.keys[key]; ok {
		delete(s.keys, key)
		s.changeLog = append(s.changeLog, storeChange{key, protocol.WatchEvent{Delete: key, Version: s.revision.Version()}})
	}
}

// wakeWatches makes open watches look for new changes.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
