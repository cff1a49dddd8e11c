package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
)

// storeTransaction is a transaction as it arrives, with the values still encoded.
type storeTransaction struct {
	Preconditions []protocol.Precondition `msgpack:"guards"`
	Mutations     []struct {
		Set    string             `msgpack:"set"`
		Value  msgpack.RawMessage `msgpack:"data"`
		Lease  protocol.LeaseID   `msgpack:"permit"`
		Delete string             `msgpack:"delete"`
	} `msgpack:"then"`
}

// withoutValues returns the transaction's keys and preconditions for a test's hooks.
func (t *storeTransaction) withoutValues() *protocol.Transaction {
	stripped := &protocol.Transaction{Preconditions: t.Preconditions}
	for _, mutation := range t.Mutations {
		stripped.Mutations = append(stripped.Mutations, protocol.Mutation{Set: mutation.Set, Delete: mutation.Delete})
	}
	return stripped
}

// commitNowOrDelayed carries a transaction out at once, or after the delay that the hook
// executionDelay returns. A delayed transaction is answered at once with a gateway error, and newer
// transactions can be carried out before it.
func (s *Store) commitNowOrDelayed(w http.ResponseWriter, body []byte) {
	var delay time.Duration
	if s.executionDelay != nil {
		delay = s.executionDelay()
	}
	if delay <= 0 {
		s.commit(w, body)
		return
	}
	go func() {
		time.Sleep(delay)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.commit(httptest.NewRecorder(), body)
	}()
	writeReply(w, http.StatusBadGateway, nil)
}

// commit carries a transaction out unless a fault, a limit or a failed precondition prevents it.
func (s *Store) commit(w http.ResponseWriter, body []byte) {
	var transaction storeTransaction
	if err := codec.Unmarshal(body, &transaction); err != nil {
		writeReply(w, http.StatusBadRequest, protocol.ErrorReply{Error: err.Error()})
		return
	}
	fault := NoFault
	if s.fault != nil {
		fault = s.fault(transaction.withoutValues())
	}
	if refusedByFault(w, fault) || s.refusedByLimits(w, &transaction, len(body)) {
		return
	}
	if failed := s.failedPreconditions(&transaction); len(failed) > 0 {
		writeReply(w, http.StatusConflict, protocol.TransactionReply{FailedKeys: failed, Revision: s.revision})
		return
	}
	s.apply(&transaction)
	if s.onCommit != nil {
		s.onCommit(transaction.withoutValues())
	}
	if fault == AnswerLost || (s.loseReply != nil && s.loseReply()) {
		writeReply(w, http.StatusBadGateway, nil)
		return
	}
	writeReply(w, http.StatusOK, protocol.TransactionReply{Revision: s.revision})
}

// refusedByFault answers a transaction that its fault prevents, and reports whether it did.
func refusedByFault(w http.ResponseWriter, fault Fault) bool {
	switch fault {
	case NotExecuted:
		writeReply(w, http.StatusBadGateway, nil)
	case OverLimit:
		writeReply(w, http.StatusBadRequest, protocol.ErrorReply{Error: "beyond the limits"})
	case Throttled:
		writeReply(w, http.StatusTooManyRequests, nil)
	default:
		return false
	}
	return true
}

// refusedByLimits answers a transaction that exceeds a limit or names an expired lease, and
// reports whether it did. The controllers have the limits in their settings, so exceeding one is
// a bug of the controllers and makes the store panic, unless the limits were lowered without
// notice.
func (s *Store) refusedByLimits(w http.ResponseWriter, transaction *storeTransaction, encodedBytes int) bool {
	violation := s.limitViolation(transaction, encodedBytes)
	switch {
	case s.namesExpiredLease(transaction):
		writeReply(w, http.StatusBadRequest, protocol.ErrorReply{Error: protocol.ReasonNoLease})
	case violation != "" && !s.limitsLowered:
		panic(violation)
	case violation != "":
		s.refusals[http.StatusBadRequest]++
		writeReply(w, http.StatusBadRequest, protocol.ErrorReply{Error: violation})
	case !s.admitMutations(len(transaction.Mutations)):
		s.refusals[http.StatusTooManyRequests]++
		writeReply(w, http.StatusTooManyRequests, nil)
	default:
		return false
	}
	return true
}

const (
	// maxTransactionBytes is the size of the largest transaction that the store accepts.
	maxTransactionBytes = 64 << 10
	// overheadPerKey is the estimated size of the field names, brackets and the version around a key.
	overheadPerKey = 60
)

// limitViolation describes the limit that a transaction exceeds, or returns "".
func (s *Store) limitViolation(transaction *storeTransaction, encodedBytes int) string {
	violation := ""
	preconditions, mutations := len(transaction.Preconditions), len(transaction.Mutations)
	if s.maxOps > 0 && (mutations > s.maxOps || preconditions > 4*s.maxOps) {
		violation = fmt.Sprintf("commit of %d mutations, %d preconditions", mutations, preconditions)
	}
	size := 0
	for _, precondition := range transaction.Preconditions {
		size += len(precondition.Key) + overheadPerKey
	}
	for _, mutation := range transaction.Mutations {
		valueSize := jsonSize(mutation.Value)
		size += valueSize + len(mutation.Set) + len(mutation.Delete) + overheadPerKey
		if s.maxValue > 0 && valueSize > s.maxValue {
			violation = fmt.Sprintf("value of %d bytes at %s", valueSize, mutation.Set)
		}
	}
	if size > maxTransactionBytes || encodedBytes > maxTransactionBytes {
		violation = fmt.Sprintf("commit of about %d bytes", size)
	}
	return violation
}

// namesExpiredLease reports whether a mutation binds its key to a lease that has ended.
func (s *Store) namesExpiredLease(transaction *storeTransaction) bool {
	for _, mutation := range transaction.Mutations {
		if mutation.Lease != 0 && s.leases[mutation.Lease] == nil {
			return true
		}
	}
	return false
}

// failedPreconditions lists the keys whose version is not the expected one.
func (s *Store) failedPreconditions(transaction *storeTransaction) []string {
	var failed []string
	for _, precondition := range transaction.Preconditions {
		if s.keys[precondition.Key].version != precondition.Version {
			failed = append(failed, precondition.Key)
		}
	}
	return failed
}

// apply carries out all mutations of a transaction in one revision.
func (s *Store) apply(transaction *storeTransaction) {
	if len(transaction.Mutations) == 0 {
		return
	}
	s.revision++
	for _, mutation := range transaction.Mutations {
		if mutation.Delete != "" {
			s.deleteKey(mutation.Delete)
			continue
		}
		s.setKey(mutation.Set, storeEntry{slices.Clone(mutation.Value), s.revision.Version(), mutation.Lease})
	}
	s.wakeWatches()
}

// jsonSize returns the size of a value as JSON. It uses the standard library's encoder, so that
// it does not depend on the controllers' own calculation of the size.
func jsonSize(raw msgpack.RawMessage) int {
	if raw == nil {
		return 0
	}
	var decoded any
	if err := msgpack.Unmarshal(raw, &decoded); err != nil {
		panic(err)
	}
	encoded, err := json.Marshal(decoded)
	if err != nil {
		panic(err)
	}
	return len(encoded)
}
