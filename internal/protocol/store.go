package protocol

import "github.com/vmihailenco/msgpack/v5"

// KeyValue is a key of the store with its value and version.
type KeyValue struct {
	Key     string             `msgpack:"path"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Version Version            `msgpack:"stamp"`
}

// KeyValuePage is a page of a list of keys; More says that another page follows.
type KeyValuePage struct {
	Entries  []KeyValue `msgpack:"rows"`
	More     bool       `msgpack:"truncated"`
	Revision Revision   `msgpack:"epoch"`
}

// Precondition is a condition of a transaction: the key has this version, or does not exist
// if Version is 0.
type Precondition struct {
	Key     string  `msgpack:"path"`
	Version Version `msgpack:"stamp"`
}

// Mutation sets a key, if Set names one, or deletes the key that Delete names.
type Mutation struct {
	Set    string  `msgpack:"set,omitempty"`
	Value  any     `msgpack:"data,omitempty"`
	Lease  LeaseID `msgpack:"permit,omitempty"`
	Delete string  `msgpack:"delete,omitempty"`
}

// Transaction is a compare-and-swap: the store carries out all mutations if all preconditions hold,
// and none otherwise.
type Transaction struct {
	Preconditions []Precondition `msgpack:"guards"`
	Mutations     []Mutation     `msgpack:"then,omitempty"`
}

// ReasonNoLease is the store's reason for refusing a mutation with an expired lease.
const ReasonNoLease = "no such lease"

// TransactionReply answers a transaction. FailedKeys names the keys whose preconditions failed.
type TransactionReply struct {
	Revision   Revision `msgpack:"epoch"`
	FailedKeys []string `msgpack:"failed"`
	Error      string   `msgpack:"error"`
}

// LeaseRequest asks the store for a lease.
type LeaseRequest struct {
	TTLMS int64 `msgpack:"lifeMs"`
}

// Lease is a lease of the store. Keys that are attached to it are deleted when it expires.
type Lease struct {
	ID LeaseID `msgpack:"permit"`
}

// WatchEvent is a change that a watch call returns.
type WatchEvent struct {
	Set     string             `msgpack:"set"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Delete  string             `msgpack:"delete"`
	Version Version            `msgpack:"stamp"`
}

// WatchReply answers a watch call: the changes up to a revision.
type WatchReply struct {
	Revision Revision     `msgpack:"epoch"`
	Events   []WatchEvent `msgpack:"events"`
}
