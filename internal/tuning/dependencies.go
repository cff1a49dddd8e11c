package tuning

import "time"

// Constants of jobs that depend on others.
const (
	// DependencyLookupInterval is the pause between two reads of the final records of
	// dependencies that are not open.
	DependencyLookupInterval = time.Second
	// DependencyLookupBatch is how many final records are read in one such turn: a small
	// part of the requests that the store takes in a second.
	DependencyLookupBatch = 20

	// OutcomeCache is how many final phases the leader remembers for jobs that depend on
	// them, at about 60 bytes each.
	OutcomeCache = 20000

	// DependenciesMax is how many jobs one job may depend on. Their IDs, of up to 30 bytes,
	// must fit in its record, and their keys in the preconditions of one transaction.
	// Pipelines have a handful.
	DependenciesMax = 32

	// DependencyReads is how many dependencies are read one by one, both for one answer and
	// by a controller within DependencyCheckShare of cancel_s: as many as a few pipelines
	// have. For more of them all open jobs are read at once, which takes some pages.
	DependencyReads = 64

	// DependencyCheckShare is the part of cancel_s for which a controller relies on what it
	// last read of a job and its dependencies. Whoever was told that one of them is
	// cancelled must be told the same of the dependent jobs within cancel_s.
	DependencyCheckShare = 0.25
)
