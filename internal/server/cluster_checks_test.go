package server

import (
	"slices"
	"strings"

	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// checkRequiredPreconditions checks the preconditions of an applied transaction. Changes
// of keys that only a leader writes need the version of the term key as a precondition.
// Changes of open records and run records need the version of the changed key. Otherwise a
// late copy of the transaction could undo newer writes.
func (c *testCluster) checkRequiredPreconditions(txn *protocol.Transaction) {
	hasPrecondition := map[string]bool{}
	for _, precondition := range txn.Preconditions {
		hasPrecondition[precondition.Key] = true
	}
	for _, mutation := range txn.Mutations {
		key := mutation.Set + mutation.Delete
		writtenByLeader := isRunSegment(key) || strings.HasPrefix(key, "d/") || strings.HasPrefix(key, "r/") || key == "catalog"
		if (writtenByLeader && !hasPrecondition["term"]) || (strings.HasPrefix(key, "o/") && !hasPrecondition[key]) {
			c.t.Errorf("the transaction changes %s without the required precondition", key)
		}
	}
}

// checkReadableByPreviousVersion checks that no record is written in a format that the
// previous version cannot read while a controller still runs that version, because that
// controller may become the leader.
func (c *testCluster) checkReadableByPreviousVersion(txn *protocol.Transaction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, mutation := range txn.Mutations {
		if isFurtherSegment(mutation.Set) && slices.ContainsFunc(c.names, func(name string) bool { return c.runsPreviousVersion[name] }) {
			c.t.Errorf("%s is written although a controller of the previous version cannot read it", mutation.Set)
		}
	}
}

// isRunSegment reports whether a key names a segment of a run record.
func isRunSegment(key string) bool {
	_, segment := records.ParseOpenKey(key)
	return strings.HasPrefix(key, records.PrefixOpen) && segment != records.NoSegment
}

// isFurtherSegment reports whether a key names a segment of a run record beyond the first,
// which the previous version of the formats does not have.
func isFurtherSegment(key string) bool {
	_, segment := records.ParseOpenKey(key)
	return isRunSegment(key) && segment > 0
}
