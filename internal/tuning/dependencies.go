package tuning

import "time"

// Constants of jobs that depend on others.
const (
	// DependencyLookupInterval is the pause between two readings of the final records of
	// dependencies that are not open, and DependencyLookupBatch how many are read in a
	// turn: a small part of the requests of a second.
	DependencyLookupInterval = time.Second
	DependencyLookupBatch    = 20

	// OutcomeCache is how many final phases a leader remembers for jobs that wait
	// for others (about 60 bytes each).
	OutcomeCache = 20000

	// DependenciesMax bounds the jobs that one job may wait for: their names must
	// fit in its record, with ids of the largest form in 30 bytes each, and in
	// one transaction's conditions. Pipelines have a handful.
	DependenciesMax = 32

	// DependencyReads bounds the jobs that jobs wait for which are read one by one, for
	// an answer and by a node within DependencyCheckShare of cancel_s: a few pipelines'
	// worth. For more, all open jobs are read at once, which takes some pages.
	DependencyReads = 64

	// DependencyCheckShare is the part of cancel_s for which a node relies on what it
	// last knew of a job and of those that it waits for: whoever was told that one of
	// them is cancelled must hear the same of the dependents within cancel_s.
	DependencyCheckShare = 0.25
)
