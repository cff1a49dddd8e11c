package api

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// sharedReads reads the records of all open jobs for everybody who asks about one of them.
// Where more is asked than the state service answers requests, a read for each question
// leaves some jobs without an answer for minutes. What is returned was read after the
// question came, as with a read of its own. It is safe for concurrent use.
type sharedReads struct {
	store *kvstore.Client
	// rate is how many pages a second this node may read in this way.
	rate float64
	// turn is held by the reading under way, so that there is one at a time.
	turn chan struct{}

	mu          sync.Mutex // guards the rest
	throttledAt time.Time  // when a request was throttled last
	next        *sharedRead
	notBefore   time.Time // of the next reading
}

// sharedRead is one reading, for all who asked before it began.
type sharedRead struct {
	done    chan struct{} // closed when the rest is set
	entries []protocol.KeyValue
	err     error
}

func newSharedReads(store *kvstore.Client, cfg *config.Config) *sharedReads {
	nodes := float64(len(cfg.Peers) + 1)
	return &sharedReads{store: store, turn: make(chan struct{}, 1),
		rate: cfg.Deployment.State.Smaller().RPS * tuning.SharedReadsShare / nodes}
}

// noteThrottled notes that the state service has throttled a read.
func (s *sharedReads) noteThrottled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttledAt = time.Now()
}

// enabled tells whether reads are to be shared: some were throttled lately.
func (s *sharedReads) enabled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.throttledAt.IsZero() && time.Since(s.throttledAt) < tuning.SharedReadsFor
}

// records returns the records of an open job, as a reading that begins after the call
// finds them; none if it is not open.
func (s *sharedReads) records(ctx context.Context, jobID protocol.JobID) ([]protocol.KeyValue, error) {
	reading := s.join()
	select {
	case <-reading.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if reading.err != nil {
		return nil, reading.err
	}
	return recordsOf(reading.entries, jobID), nil
}

// join returns the next reading that begins.
func (s *sharedReads) join() *sharedRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &sharedRead{done: make(chan struct{})}
		go s.run(s.next)
	}
	return s.next
}

// run carries a reading out when it is its turn.
func (s *sharedReads) run(reading *sharedRead) {
	s.turn <- struct{}{}
	defer func() { <-s.turn }()
	s.mu.Lock()
	pause := time.Until(s.notBefore)
	s.mu.Unlock()
	time.Sleep(pause)
	s.mu.Lock()
	s.next = nil // who asks from now on waits for another
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), tuning.UserDeadline)
	defer cancel()
	began := time.Now()
	page, err := s.store.ListAll(ctx, records.PrefixOpen)
	reading.entries, reading.err = page.Entries, err
	close(reading.done)
	if errors.Is(err, kvstore.ErrThrottled) {
		s.noteThrottled()
	}
	s.mu.Lock()
	s.notBefore = began.Add(s.pause(page.Entries))
	s.mu.Unlock()
}

// pause is how long after the beginning of a reading that found some records the next
// may begin.
func (s *sharedReads) pause(entries []protocol.KeyValue) time.Duration {
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.Value)
	}
	pages := float64(1 + max(len(entries)/tuning.StatePage, bytes/tuning.StatePageBytes))
	return min(tuning.SharedReadsPause, time.Duration(pages/s.rate*float64(time.Second)))
}

// recordsOf picks the records of a job among those of all open jobs, in the order of
// their keys.
func recordsOf(entries []protocol.KeyValue, jobID protocol.JobID) []protocol.KeyValue {
	key := records.OpenKey(jobID)
	first, found := slices.BinarySearchFunc(entries, key, func(entry protocol.KeyValue, key string) int { return strings.Compare(entry.Key, key) })
	if !found {
		return nil
	}
	end := first + 1
	for end < len(entries) && end-first <= tuning.SegmentsRead && strings.HasPrefix(entries[end].Key, key+"/") {
		end++
	}
	return entries[first:end]
}
