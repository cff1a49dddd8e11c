package records

import "marblehaven/internal/protocol"

// LeaderRecord names the controller that leads in a term. It is stored under KeyTerm, which
// outlives every leader, and under KeyLeader, which is attached to a lease of the store.
type LeaderRecord struct {
	Term protocol.Term `msgpack:"n"`
	Node string        `msgpack:"node"`
}
