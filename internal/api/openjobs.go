package api

import (
	"context"
	"sync"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// openJobListings reads all open jobs at once and keeps them as long as may be relied on.
// Where many jobs wait for others, reading what they need job by job would take more
// requests than the state service answers. It is safe for concurrent use.
type openJobListings struct {
	store    *kvstore.Client
	validFor time.Duration // how long a reading may be relied on
	// reading is held by whoever reads; the others wait for the same reading.
	reading chan struct{}

	mu     sync.Mutex // guards the rest
	latest jobListing
	// singleReads counts the jobs read one by one since the time, see allowSingleReads.
	singleReads  int
	countedSince time.Time
}

// jobListing is all open jobs at some time.
type jobListing struct {
	asOf time.Time
	jobs map[protocol.JobID]records.OpenJob
}

func newOpenJobListings(store *kvstore.Client, validFor time.Duration) *openJobListings {
	return &openJobListings{store: store, validFor: validFor, reading: make(chan struct{}, 1)}
}

// latestValid returns the latest reading if it may still be relied on.
func (o *openJobListings) latestValid() (jobListing, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.latest, time.Since(o.latest.asOf) < o.validFor
}

// allowSingleReads tells whether some more jobs may be read one by one: not more than
// tuning.DependencyReads in the time for which a reading lasts.
func (o *openJobListings) allowSingleReads(jobs int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.countedSince) >= o.validFor {
		o.singleReads, o.countedSince = 0, time.Now()
	}
	if o.singleReads+jobs > tuning.DependencyReads {
		return false
	}
	o.singleReads += jobs
	return true
}

// read returns a reading that may be relied on, a new one if need be.
func (o *openJobListings) read(ctx context.Context) (jobListing, error) {
	select {
	case o.reading <- struct{}{}:
		defer func() { <-o.reading }()
	case <-ctx.Done():
		return jobListing{}, ctx.Err()
	}
	if listing, ok := o.latestValid(); ok {
		return listing, nil
	}
	listing := jobListing{asOf: time.Now(), jobs: map[protocol.JobID]records.OpenJob{}}
	page, err := o.store.ListAll(ctx, records.PrefixOpen)
	if err != nil {
		return jobListing{}, err
	}
	for _, entry := range page.Entries {
		jobID, segment := records.ParseOpenKey(entry.Key)
		if segment != records.NoSegment {
			continue
		}
		var open records.OpenJob
		if err := codec.Unmarshal(entry.Value, &open); err != nil {
			open = records.OpenJob{Cancelled: records.MarkedCancelled(entry.Value)}
		}
		listing.jobs[jobID] = open
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.latest = listing
	return listing, nil
}
