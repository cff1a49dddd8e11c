package tuning

import "time"

// Constants of the key-value store.
const (
	// StoreTimeout ends a call to the store. Answers usually take less than 10 ms and
	// occasionally a few hundred, so the timeout is well beyond the slow ones.
	StoreTimeout = 1500 * time.Millisecond

	// StorePageKeys is the largest number of keys in a page of a list, as the store
	// specifies.
	StorePageKeys = 1000
	// StorePageBytes is the largest size of such a page in bytes, as the store specifies.
	StorePageBytes = 512 << 10

	// LeaderWriteShare is the leader's share of the store's mutations a second. The rest is
	// left for submissions and cancellations by all controllers.
	LeaderWriteShare = 0.7

	// CommitBytes is the largest size of a batch of the leader's writes, in bytes as JSON. It
	// is well within TransactionBytes, which leaves room for errors in the estimated sizes of
	// records.
	CommitBytes = 48 << 10

	// ValueMinKB is the smallest limit of a value's size, in KiB, with which the settings
	// are accepted: a segment of a run record must fit.
	ValueMinKB = 2.0

	// TransactionMutationsMin is the smallest limit of mutations in a transaction with which
	// the settings are accepted: the open and the final record of a job, a segment of its run
	// record, and one further mutation.
	TransactionMutationsMin = 4

	// TransactionPreconditions is how many preconditions a transaction may have for each
	// mutation that the store's limit allows, as the store specifies.
	TransactionPreconditions = 4

	// TransactionEntryBytes is the size of a precondition or a mutation without its value, in
	// bytes as JSON: its key, names of fields and a version.
	TransactionEntryBytes = 120

	// TransactionBytes is the largest size of a transaction in bytes as JSON, as the store
	// specifies.
	TransactionBytes = 64 << 10
)
