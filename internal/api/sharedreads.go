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

// sharedReads reads the records of all open jobs once for many concurrent callers, each of
// which needs one job. When users ask for more jobs a second than the key-value store
// answers requests, one read for each call would leave some users without a reply for
// minutes. A caller receives records that were read after its call, as with a read of its
// own. It is safe for concurrent use.
//
// The comment on openJobListings says why the two types are separate.
type sharedReads struct {
	store *kvstore.Client
	// rate limits the shared reads of this controller, in pages a second.
	rate float64
	// readLock is held by the shared read in progress, so that there is one at a time.
	readLock chan struct{}

	mu          sync.Mutex  // guards the rest
	throttledAt time.Time   // when the store last throttled a read
	pending     *sharedRead // the read that has not begun, nil if no caller waits for one
	notBefore   time.Time   // the earliest start of the next read
}

// sharedRead is one read of all open jobs, shared by the callers that joined it before it
// began.
type sharedRead struct {
	done    chan struct{} // closed when the other fields are set
	entries []protocol.KeyValue
	err     error
}

func newSharedReads(store *kvstore.Client, cfg *config.Config) *sharedReads {
	controllers := float64(len(cfg.Peers) + 1)
	return &sharedReads{
		store:    store,
		rate:     cfg.Deployment.State.StricterLimits().RPS * tuning.SharedReadsShare / controllers,
		readLock: make(chan struct{}, 1),
	}
}

// recordThrottled records that the key-value store has throttled a read.
func (s *sharedReads) recordThrottled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttledAt = time.Now()
}

// enabled reports whether callers must share their reads. They must for
// tuning.SharedReadsDuration after the store throttled a read.
func (s *sharedReads) enabled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.throttledAt.IsZero() && time.Since(s.throttledAt) < tuning.SharedReadsDuration
}

// records returns the records of an open job from a shared read that begins after the call,
// or none if the job is not open.
func (s *sharedReads) records(ctx context.Context, jobID protocol.JobID) ([]protocol.KeyValue, error) {
	read := s.join()
	select {
	case <-read.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if read.err != nil {
		return nil, read.err
	}
	return recordsOf(read.entries, jobID), nil
}

// join returns the pending read, and schedules one if there is none.
func (s *sharedReads) join() *sharedRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = &sharedRead{done: make(chan struct{})}
		go s.run(s.pending)
	}
	return s.pending
}

// run executes a shared read once the previous one has ended and the pause after the start
// of that one is over.
func (s *sharedReads) run(read *sharedRead) {
	s.readLock <- struct{}{}
	defer func() { <-s.readLock }()
	s.mu.Lock()
	pause := time.Until(s.notBefore)
	s.mu.Unlock()
	time.Sleep(pause)
	s.mu.Lock()
	s.pending = nil // later callers wait for another read
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), tuning.UserDeadline)
	defer cancel()
	start := time.Now()
	page, err := s.store.ListAll(ctx, records.PrefixOpen)
	read.entries, read.err = page.Entries, err
	close(read.done)
	if errors.Is(err, kvstore.ErrThrottled) {
		s.recordThrottled()
	}
	s.mu.Lock()
	s.notBefore = start.Add(s.pause(page.Entries))
	s.mu.Unlock()
}

// pause returns the time from the start of a shared read that returned the given entries to
// the start of the next one: long enough to keep the pages read within the rate, but at
// most tuning.SharedReadsPause.
func (s *sharedReads) pause(entries []protocol.KeyValue) time.Duration {
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.Value)
	}
	pages := float64(1 + max(len(entries)/tuning.StorePageKeys, bytes/tuning.StorePageBytes))
	return min(tuning.SharedReadsPause, time.Duration(pages/s.rate*float64(time.Second)))
}

// recordsOf returns the records of one job among those of all open jobs, which are sorted
// by key.
func recordsOf(entries []protocol.KeyValue, jobID protocol.JobID) []protocol.KeyValue {
	key := records.OpenKey(jobID)
	first, found := slices.BinarySearchFunc(entries, key, func(entry protocol.KeyValue, key string) int { return strings.Compare(entry.Key, key) })
	if !found {
		return nil
	}
	end := first + 1
	for end < len(entries) && end-first <= tuning.SegmentsReadMax && strings.HasPrefix(entries[end].Key, key+"/") {
		end++
	}
	return entries[first:end]
}
