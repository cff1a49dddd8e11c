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

// openJobListings lists all open jobs at once to resolve dependencies, and caches the
// latest listing for validFor. Where many jobs have dependencies, reading these one by one
// would take more requests than the key-value store answers. It is safe for concurrent use.
//
// sharedReads cannot replace it. A shared read begins after the call, is not cached, and is
// paced by the store's request rate. A listing may be older than the call, is read within
// the caller's deadline and without a pause, and holds decoded open records only. One type
// for both purposes would change how often the store is read.
type openJobListings struct {
	store    *kvstore.Client
	validFor time.Duration // how long a listing may be relied on
	// readLock is held by the caller that reads a listing. Other callers wait for the lock
	// and then use that listing.
	readLock chan struct{}

	mu     sync.Mutex // guards the rest
	latest jobListing
	// singleReads counts the jobs read one by one since countedSince, see
	// allowSingleReads.
	singleReads  int
	countedSince time.Time
}

// jobListing holds the open records of all open jobs at the time asOf.
type jobListing struct {
	asOf time.Time
	jobs map[protocol.JobID]records.OpenJob
}

func newOpenJobListings(store *kvstore.Client, validFor time.Duration) *openJobListings {
	return &openJobListings{store: store, validFor: validFor, readLock: make(chan struct{}, 1)}
}

// latestValid returns the latest listing and whether it is still valid.
func (o *openJobListings) latestValid() (jobListing, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.latest, time.Since(o.latest.asOf) < o.validFor
}

// allowSingleReads reports whether the given number of further jobs may be read one by one,
// and counts them if so. At most tuning.DependencyReads may be read within validFor.
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

// read returns the latest listing if it is valid, and reads a new one otherwise.
func (o *openJobListings) read(ctx context.Context) (jobListing, error) {
	select {
	case o.readLock <- struct{}{}:
		defer func() { <-o.readLock }()
	case <-ctx.Done():
		return jobListing{}, ctx.Err()
	}
	if listing, ok := o.latestValid(); ok {
		return listing, nil
	}
	asOf := time.Now()
	page, err := o.store.ListAll(ctx, records.PrefixOpen)
	if err != nil {
		return jobListing{}, err
	}
	listing := jobListing{asOf: asOf, jobs: decodeOpenJobs(page.Entries)}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.latest = listing
	return listing, nil
}

// decodeOpenJobs decodes the open records and leaves out the segments of run records. From
// an open record that cannot be decoded it takes only whether the job is cancelled.
func decodeOpenJobs(entries []protocol.KeyValue) map[protocol.JobID]records.OpenJob {
	jobs := map[protocol.JobID]records.OpenJob{}
	for _, entry := range entries {
		jobID, segment := records.ParseOpenKey(entry.Key)
		if segment != records.NoSegment {
			continue
		}
		var open records.OpenJob
		if err := codec.Unmarshal(entry.Value, &open); err != nil {
			open = records.OpenJob{Cancelled: records.MarkedCancelled(entry.Value)}
		}
		jobs[jobID] = open
	}
	return jobs
}
