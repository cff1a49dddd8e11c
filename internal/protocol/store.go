package protocol

import "github.com/vmihailenco/msgpack/v5"

// KeyValue is a key of the state service with its value.
type KeyValue struct {
	Key     string             `msgpack:"path"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Version Version            `msgpack:"stamp"`
}

// KeyValuePage is a page of keys.
type KeyValuePage struct {
	Entries  []KeyValue `msgpack:"rows"`
	More     bool       `msgpack:"truncated"`
	Revision Revision   `msgpack:"epoch"`
}

// Precondition is a condition of a commit.
type Precondition struct {
	Key     string  `msgpack:"path"`
	Version Version `msgpack:"stamp"`
}

// Mutation is a put (Set) or a delete.
type Mutation struct {
	Set    string  `msgpack:"set,omitempty"`
	Value  any     `msgpack:"data,omitempty"`
	Lease  LeaseID `msgpack:"permit,omitempty"`
	Delete string  `msgpack:"delete,omitempty"`
}

// Transaction is a transaction.
type Transaction struct {
	Preconditions []Precondition `msgpack:"guards"`
	Mutations     []Mutation     `msgpack:"then,omitempty"`
}

// ReasonNoLease is the store's reason for refusing a write with an expired lease.
const ReasonNoLease = "no such lease"

// TransactionReply answers a transaction.
type TransactionReply struct {
	Revision   Revision `msgpack:"epoch"`
	FailedKeys []string `msgpack:"failed"`
	Error      string   `msgpack:"error"`
}

// LeaseRequest asks for a lease at the state service.
type LeaseRequest struct {
	TTLMS int64 `msgpack:"lifeMs"`
}

// Lease is a lease at the state service.
type Lease struct {
	ID LeaseID `msgpack:"permit"`
}

// WatchEvent is a change seen by a follow call.
type WatchEvent struct {
	Set     string             `msgpack:"set"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Delete  string             `msgpack:"delete"`
	Version Version            `msgpack:"stamp"`
}

// WatchReply answers a follow call.
type WatchReply struct {
	Revision Revision     `msgpack:"epoch"`
	Events   []WatchEvent `msgpack:"events"`
}
