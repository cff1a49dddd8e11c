package tuning

import "time"

// Constants of jobs that depend on others.
const (
	// DependencyLookupInterval is the pause between two reads of the final records of
	// dependencies that are not open.
	DependencyLookupInterval = time.Second
	// DependencyLookupBatch is the number of final records read in one such lookup: a small
	// part of the requests that the store accepts in a second.
	DependencyLookupBatch = 20

	// OutcomeCacheSize is the number of finished jobs whose final phases the leader caches
	// for the jobs that depend on them, at about 60 bytes each.
	OutcomeCacheSize = 20000

	// DependenciesMax is the largest number of jobs that one job may depend on. Their IDs, of
	// up to 30 bytes, must fit in its record, and their keys in the preconditions of one
	// transaction. Usual pipelines have a handful of dependencies.
	DependenciesMax = 32

	// DependencyReads is the largest number of dependencies that are read one by one, both
	// for one answer and by a controller within DependencyCheckShare of cancel_s: as many as
	// a few pipelines have. If there are more, all open jobs are read at once, which takes a
	// few pages.
	DependencyReads = 64

	// DependencyCheckShare is the share of cancel_s for which a controller relies on what it
	// last read of a job and its dependencies. A user who got the answer that one of them is
	// cancelled must get the same answer for the dependent jobs within cancel_s.
	DependencyCheckShare = 0.25
)
