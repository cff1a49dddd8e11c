package tuning

import "time"

// Constants of the state service and the records kept there.
const (
	// CompletionDelay is how long completions of parts of a job may wait for
	// others before they are recorded. Until then the worker keeps them.
	CompletionDelay = 2 * time.Second

	// RecordEntryBytes is what a placement takes in a job's record at the most,
	// in bytes as JSON; it bounds a job's tasks in flight by value_kb while all
	// of them are kept in one record.
	RecordEntryBytes = 48

	// SegmentTasks is how many tasks share one piece of a run record. It is part of
	// the record format and must never change: with ValueMinKB it leaves 60
	// bytes for a task, more than RecordEntryBytes.
	SegmentTasks = 32

	// VersionCheckInterval is the pause between checks of the controllers' versions while
	// an upgrade is under way.
	VersionCheckInterval = 2 * time.Second
)
