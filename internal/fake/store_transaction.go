package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
)

// storeTransaction is a commit as it arrives.
type storeTransaction struct {
	Preconditions []protocol.Precondition `msgpack:"guards"`
	Mutations     []struct {
		Set    string             `msgpack:"set"`
		Value  msgpack.RawMessage `msgpack:"data"`
		Lease  protocol.LeaseID   `msgpack:"permit"`
		Delete string             `msgpack:"delete"`
	} `msgpack:"then"`
}

// withoutValues is the transaction without its values.
func (t *storeTransaction) withoutValues() *protocol.Transaction {
	out := &protocol.Transaction{Preconditions: t.Preconditions}
	for _, mutation := range t.Mutations {
		out.Mutations = append(out.Mutations, protocol.Mutation{Set: mutation.Set, Delete: mutation.Delete})
	}
	return out
}

func (s *Store) commit(w http.ResponseWriter, body []byte) {
	var transaction storeTransaction
	if err := codec.Unmarshal(body, &transaction); err != nil {
		writeReply(w, 400, protocol.ErrorReply{Error: err.Error()})
		return
	}
	fault := None
	if s.Fault != nil {
		fault = s.Fault(transaction.withoutValues())
	}
	switch fault {
	case NotExecuted:
		writeReply(w, 502, nil)
		return
	case OverLimit:
		writeReply(w, 400, protocol.ErrorReply{Error: "beyond the limits"})
		return
	case Throttled:
		writeReply(w, 429, nil)
		return
	}
	const overheadPerKey = 60 // field names, brackets and a version
	size, violation := 0, ""
	for _, precondition := range transaction.Preconditions {
		size += len(precondition.Key) + overheadPerKey
	}
	if s.MaxOps > 0 && (len(transaction.Mutations) > s.MaxOps || len(transaction.Preconditions) > 4*s.MaxOps) {
		violation = fmt.Sprintf("commit of %d changes, %d guards", len(transaction.Mutations), len(transaction.Preconditions))
	}
	for _, mutation := range transaction.Mutations {
		n := jsonSize(mutation.Value)
		size += n + len(mutation.Set) + len(mutation.Delete) + overheadPerKey
		if s.MaxValue > 0 && n > s.MaxValue {
			violation = fmt.Sprintf("value of %d bytes at %s", n, mutation.Set)
		}
		if mutation.Lease != 0 && s.leases[mutation.Lease] == nil {
			writeReply(w, 400, protocol.ErrorReply{Error: protocol.ReasonNoLease})
			return
		}
	}
	if size > 64<<10 || len(body) > 64<<10 {
		violation = fmt.Sprintf("commit of about %d bytes", size)
	}
	switch {
	case violation != "" && !s.limitsLowered:
		panic(violation)
	case violation != "":
		s.Refusals[400]++
		writeReply(w, 400, protocol.ErrorReply{Error: violation})
		return
	case s.writeRate != nil && !s.writeRate.AllowN(time.Now(), len(transaction.Mutations)):
		s.Refusals[429]++
		writeReply(w, 429, nil)
		return
	}
	failed := []string{}
	for _, precondition := range transaction.Preconditions {
		if s.keys[precondition.Key].version != precondition.Version {
			failed = append(failed, precondition.Key)
		}
	}
	if len(failed) > 0 {
		writeReply(w, 409, protocol.TransactionReply{FailedKeys: failed, Revision: s.revision})
		return
	}
	if len(transaction.Mutations) > 0 {
		s.revision++
		for _, mutation := range transaction.Mutations {
			if mutation.Delete != "" {
				s.deleteKey(mutation.Delete)
			} else {
				s.setKey(mutation.Set, storeEntry{slices.Clone(mutation.Value), s.revision.Version(), mutation.Lease})
			}
		}
		s.wakeWatches()
	}
	if s.OnCommit != nil {
		s.OnCommit(transaction.withoutValues())
	}
	if fault == AnswerLost || (s.LoseReply != nil && s.LoseReply()) {
		writeReply(w, 502, nil)
		return
	}
	writeReply(w, 200, protocol.TransactionReply{Revision: s.revision})
}

// jsonSize is what a value takes as JSON, by the standard library's encoder.
func jsonSize(raw msgpack.RawMessage) int {
	if raw == nil {
		return 0
	}
	var v any
	if err := msgpack.Unmarshal(raw, &v); err != nil {
		panic(err)
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(b)
}
