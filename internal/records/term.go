package records

import "marblehaven/internal/protocol"

// LeaderRecord says who leads. The term key outlives every leader; the leader key,
// with the same content, hangs on the leader's grant.
type LeaderRecord struct {
	Term protocol.Term `msgpack:"n"`
	Node string        `msgpack:"node"`
}
