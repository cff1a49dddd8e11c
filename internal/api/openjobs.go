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

// openJobListings lists all open jobs at once for the resolution of dependencies and keeps
// the latest listing as long as a resolution may rely on it. Where many jobs have
// dependencies, reading these one by one would take more requests than the key-value
// store answers. It is safe for concurrent use.
//
// sharedReads cannot serve in its place: its reading begins after the call, is not kept,
// and is paced by the store's request rate, while a listing here may be older than the
// call, is read under the caller's deadline and without a pause, and holds decoded open
// records only. To use one for both would change how often the store is read.
type openJobListings struct {
	store    *kvstore.Client
	validFor time.Duration // how long a listing may be relied on
	// readLock is held by the caller that lists; other callers wait and use its listing.
	readLock chan struct{}

	mu     sync.Mutex // guards the rest
	latest jobListing
	// singleReads counts the jobs read one by one since countedSince, see
	// allowSingleReads.
	singleReads  int
	countedSince time.Time
}

// jobListing holds the open records of all open jobs as of some time.
type jobListing struct {
	asOf time.Time
	jobs map[protocol.JobID]records.OpenJob
}

func newOpenJobListings(store *kvstore.Client, validFor time.Duration) *openJobListings {
	return &openJobListings{store: store, validFor: validFor, readLock: make(chan struct{}, 1)}
}

// latestValid returns the latest listing and whether it may still be relied on.
func (o *openJobListings) latestValid() (jobListing, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.latest, time.Since(o.latest.asOf) < o.validFor
}

// allowSingleReads tells whether some more jobs may be read one by one, and counts them if
// so: not more than tuning.DependencyReads in the time for which a listing is valid.
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

// read returns a listing that may be relied on, a new one if the latest is too old.
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

// decodeOpenJobs decodes the open records and leaves out the segments of run records. Of
// an open record that cannot be decoded only the mark of a cancellation is known.
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
