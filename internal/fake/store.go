package fake

import (
	"slices"
	"strings"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
)

// storeEntry is the value of a key with its version, and the lease that the key is bound to, if any.
type storeEntry struct {
	value   msgpack.RawMessage
	version protocol.Version
	lease   protocol.LeaseID
}

// storeChange is a change of one key, as watches report it.
type storeChange struct {
	key   string
	event protocol.WatchEvent
}

// Store simulates the key-value store: versioned keys, transactions with preconditions, leases
// and watches, over the HTTP interface of the protocol.
type Store struct {
	mu sync.Mutex // guards all fields below
	storeLimits
	storeFaults
	onCommit  func(transaction *protocol.Transaction)
	revision  protocol.Revision
	keys      map[string]storeEntry
	leases    map[protocol.LeaseID]*storeLease
	nextID    protocol.LeaseID
	changeLog []storeChange
	changed   chan struct{} // closed and replaced at each change
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		storeLimits: storeLimits{refusals: map[int]int{}},
		storeFaults: storeFaults{unavailableHosts: map[string]bool{}},
		keys:        map[string]storeEntry{},
		leases:      map[protocol.LeaseID]*storeLease{},
		changed:     make(chan struct{}),
	}
}

// SetOnCommit sets a function that is called after every transaction that was carried out. The
// function is called with the store's mutex held, so it must not call the store.
func (s *Store) SetOnCommit(onCommit func(transaction *protocol.Transaction)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCommit = onCommit
}

// Put sets a key without a transaction, as if an earlier process had stored the value.
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

// Remove deletes a key without a transaction.
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

// wakeWatches makes open watches check for new changes.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
