package records

import "marblehaven/internal/protocol"

// LeaderRecord says which controller leads in which term. It is stored under KeyTerm, which
// outlives every leader, and under KeyLeader, which is attached to a lease of the store.
type LeaderRecord struct {
	Term protocol.Term `msgpack:"n"`
	Node string        `msgpack:"node"`
}
