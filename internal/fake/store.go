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
	mu sync.Mutex // guards all that follows
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

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{
		storeLimits: storeLimits{refusals: map[int]int{}},
		storeFaults: storeFaults{unavailableHosts: map[string]bool{}},
		keys:        map[string]storeEntry{},
		leases:      map[protocol.LeaseID]*storeLease{},
		changed:     make(chan struct{}),
	}
}

// SetOnCommit sets a function that is called after every transaction that was carried out. It
// is called with the store's mutex held, so it must not call the store.
func (s *Store) SetOnCommit(onCommit func(transaction *protocol.Transaction)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCommit = onCommit
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
