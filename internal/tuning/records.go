package tuning

import "time"

// Constants of run records and of the versions of the record formats.
const (
	// CompletionDelay is how long completed tasks of a job may wait for others before they
	// are recorded together. Until then the agent keeps them.
	CompletionDelay = 2 * time.Second

	// RecordEntryBytes is the largest size of a placement in a run record, in bytes as
	// JSON. It limits a job's tasks in flight as long as a run record is one value.
	RecordEntryBytes = 48

	// SegmentTasks is how many tasks share a segment of a run record. It is part of the
	// record format and must never change: with ValueMinKB it leaves 60 bytes for a task,
	// more than RecordEntryBytes.
	SegmentTasks = 32

	// VersionCheckInterval is the pause between reads of the controllers' format versions
	// while an upgrade is under way. Nobody waits for the end of an upgrade.
	VersionCheckInterval = 2 * time.Second
)
