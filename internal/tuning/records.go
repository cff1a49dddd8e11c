package tuning

import "time"

// Constants of run records and of the versions of the record formats.
const (
	// CompletionDelay is how long completed tasks of a job may wait for others before they
	// are recorded together. The agent keeps the completed tasks until they are recorded.
	CompletionDelay = 2 * time.Second

	// RecordEntryBytes is the largest size of a placement in a run record, in bytes as JSON.
	// It limits a job's tasks in flight while a run record is stored as one value.
	RecordEntryBytes = 48

	// SegmentTasks is how many tasks share a segment of a run record. It is part of the
	// record format and must never change: with ValueMinKB it leaves 60 bytes for a task,
	// more than RecordEntryBytes.
	SegmentTasks = 32

	// VersionCheckInterval is the pause between reads of the controllers' format versions
	// while an upgrade is in progress. Nothing waits for the end of an upgrade.
	VersionCheckInterval = 2 * time.Second
)
