package tuning

import "time"

// Constants of the key-value store.
const (
	// StateTimeout ends a state service call. Answers usually take under 10 ms
	// and now and then a few hundred, so this is well past the slow ones.
	StateTimeout = 1500 * time.Millisecond

	// StatePage is how many keys a page of a list of the state service holds at most
	// (PROTOCOL).
	StatePage = 1000

	// StatePageBytes is how many bytes such a page holds at most (PROTOCOL).
	StatePageBytes = 512 << 10

	// LeaderWriteShare is the leader's part of the changes a second; the rest
	// is left for submissions and cancellations on all nodes.
	LeaderWriteShare = 0.7

	// CommitBytes bounds a commit, in bytes as JSON, under the 64 KiB limit.
	CommitBytes = 48 << 10

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
