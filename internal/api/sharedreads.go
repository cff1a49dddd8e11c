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

// sharedReads reads the records of all open jobs for many callers at once, each of which
// asks for one job. Where users ask for more jobs than the key-value store answers
// requests, one read for each call leaves some users without an answer for minutes. A
// caller gets records that were read after its call, as with a read of its own. It is
// safe for concurrent use.
//
// See openJobListings for why the two are not one.
type sharedReads struct {
	store *kvstore.Client
	// rate is how many pages a second this controller may read in this way.
	rate float64
	// readLock is held by the reading in progress, so that there is one at a time.
	readLock chan struct{}

	mu          sync.Mutex  // guards the rest
	throttledAt time.Time   // when a request was throttled last
	pending     *sharedRead // the reading that has not begun, nil if nobody waits for one
	notBefore   time.Time   // when the next reading may begin
}

// sharedRead is one reading for all callers that came before it began.
type sharedRead struct {
	done    chan struct{} // closed when the other fields are set
	entries []protocol.KeyValue
	err     error
}

func newSharedReads(store *kvstore.Client, cfg *config.Config) *sharedReads {
	controllers := float64(len(cfg.Peers) + 1)
	return &sharedReads{
		store:    store,
		rate:     cfg.Deployment.State.Smaller().RPS * tuning.SharedReadsShare / controllers,
		readLock: make(chan struct{}, 1),
	}
}

// recordThrottled notes that the key-value store has throttled a read.
func (s *sharedReads) recordThrottled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttledAt = time.Now()
}

// enabled tells whether callers are to share their reads, since the store has throttled
// one within tuning.SharedReadsDuration.
func (s *sharedReads) enabled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.throttledAt.IsZero() && time.Since(s.throttledAt) < tuning.SharedReadsDuration
}

// records returns the records of an open job from a reading that begins after the call;
// none if the job is not open.
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

// join returns the reading that begins next, and schedules one if there is none.
func (s *sharedReads) join() *sharedRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = &sharedRead{done: make(chan struct{})}
		go s.run(s.pending)
	}
	return s.pending
}

// run carries out a reading when its turn has come and the pause is over.
func (s *sharedReads) run(read *sharedRead) {
	s.readLock <- struct{}{}
	defer func() { <-s.readLock }()
	s.mu.Lock()
	pause := time.Until(s.notBefore)
	s.mu.Unlock()
	time.Sleep(pause)
	s.mu.Lock()
	s.pending = nil // callers from now on wait for another reading
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

// pause is the time from the beginning of a reading that returned some records to the
// beginning of the next. It keeps the pages read within the rate.
func (s *sharedReads) pause(entries []protocol.KeyValue) time.Duration {
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.Value)
	}
	pages := float64(1 + max(len(entries)/tuning.StorePageKeys, bytes/tuning.StorePageBytes))
	return min(tuning.SharedReadsPause, time.Duration(pages/s.rate*float64(time.Second)))
}

// recordsOf returns the records of a job among those of all open jobs, which are in the
// order of their keys.
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
