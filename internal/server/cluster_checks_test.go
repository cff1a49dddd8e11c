package server

import (
	"slices"
	"strings"

	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// checkPreconditions judges applied commits: a leader's writes have its term and the
// records they change as preconditions, an open job's its own version; otherwise a
// late copy could undo what came after it.
func (c *testCluster) checkPreconditions(txn *protocol.Transaction) {
	hasPrecondition := map[string]bool{}
	for _, precondition := range txn.Preconditions {
		hasPrecondition[precondition.Key] = true
	}
	for _, mutation := range txn.Mutations {
		key := mutation.Set + mutation.Delete
		writtenByLeader := isRunSegment(key) || strings.HasPrefix(key, "d/") || strings.HasPrefix(key, "r/") || key == "catalog"
		if (writtenByLeader && !hasPrecondition["term"]) || (strings.HasPrefix(key, "o/") && !hasPrecondition[key]) {
			c.t.Errorf("change of %s without its precondition", key)
		}
	}
}

// checkFormat judges that nothing is written that the previous version can't read as
// long as it may still lead.
func (c *testCluster) checkFormat(txn *protocol.Transaction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, mutation := range txn.Mutations {
		if isFurtherSegment(mutation.Set) && slices.ContainsFunc(c.names, func(name string) bool { return c.previous[name] }) {
			c.t.Errorf("%s is written while not all can read it", mutation.Set)
		}
	}
}

// isRunSegment tells whether a key is of a segment of a run record.
func isRunSegment(key string) bool {
	_, segment := records.ParseOpenKey(key)
	return strings.HasPrefix(key, records.PrefixOpen) && segment != records.NoSegment
}

// isFurtherSegment tells whether a key is of a segment beyond the first, which the previous
// version of the formats does not know.
func isFurtherSegment(key string) bool {
	_, segment := records.ParseOpenKey(key)
	return isRunSegment(key) && segment > 0
}
