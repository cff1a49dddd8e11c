package tuning

import "time"

// Constants of the state service and the records kept there.
const (
	// StateTimeout ends a state service call. Answers usually take under 10 ms
	// and now and then a few hundred, so this is well past the slow ones.
	StateTimeout = 1500 * time.Millisecond

	// StatePage is how many keys a page of a list of the state service holds at most
	// (PROTOCOL).
	StatePage = 1000
	// StatePageBytes is how many bytes such a page holds at most (PROTOCOL).
	StatePageBytes = 512 << 10

	// CompletionDelay is how long completions of parts of a job may wait for
	// others before they are recorded. Until then the worker keeps them.
	CompletionDelay = 2 * time.Second

	// CommitBytes bounds a commit, in bytes as JSON, under the 64 KiB limit.
	CommitBytes = 48 << 10

	// LeaderWriteShare is the leader's part of the changes a second; the rest
	// is left for submissions and cancellations on all nodes.
	LeaderWriteShare = 0.7

	// ImageInventoryInterval is the pause between writes of what is known of images, of as many
	// machines as fit in a value, ImageInventoryMachines at most, and ImageInventoryImages images each:
	// one change of the dozen that a leader has in a second, in 2.5 s.
	ImageInventoryInterval = 2500 * time.Millisecond
	ImageInventoryMachines = 300
	ImageInventoryImages   = 16

	// ImageInventoryEntryBytes is more than a machine or an image takes in a hint beside its name,
	// in bytes as JSON: quotes, brackets and the image's size. ImageInventoryIndexBytes is what
	// the index of an image takes.
	ImageInventoryEntryBytes = 28
	ImageInventoryIndexBytes = 4

	// RecordEntryBytes is what a placement takes in a job's record at the most,
	// in bytes as JSON; it bounds a job's tasks in flight by value_kb while all
	// of them are kept in one record.
	RecordEntryBytes = 48

	// SegmentTasks is how many tasks share one piece of a run record. It is part of
	// the record format and must never change: with ValueMinKB it leaves 60
	// bytes for a task, more than RecordEntryBytes.
	SegmentTasks = 32

	// ValueMinKB is the smallest value limit to serve with, in KiB: a piece of a
	// run record must fit.
	ValueMinKB = 2.0

	// TransactionMutationsMin is the smallest transaction to serve with: a job's open and
	// final records and a piece of its run record, and one change beside them.
	TransactionMutationsMin = 4

	// TransactionPreconditions is how many conditions a transaction may have for each change.
	TransactionPreconditions = 4

	// TransactionEntryBytes is what a condition or a change takes in a transaction beside
	// its value, in bytes as JSON: its key, field names and a version.
	TransactionEntryBytes = 120

	// TransactionBytes is the largest transaction in bytes as JSON.
	TransactionBytes = 64 << 10
)
