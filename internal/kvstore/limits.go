package kvstore

import (
	"fmt"
	"sync/atomic"

	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// limits holds the limits that transactions are checked against. The number of mutations
// always respects the announced limit. Values may be as large as the present limit while
// records are written in a format that the previous version of this software can read.
// They respect the announced limit once useAnnounced is set, which is never reset.
type limits struct {
	present      config.StateLimits
	stricter     config.StateLimits // for each limit the smaller of the present and the announced one
	useAnnounced atomic.Bool
}

func newLimits(state config.State) *limits {
	return &limits{present: state.StateLimits, stricter: state.StricterLimits()}
}

func (l *limits) valueBytes() int {
	if l.useAnnounced.Load() {
		return l.stricter.ValueBytes()
	}
	return l.present.ValueBytes()
}

// check encodes the values of a transaction in place, and returns an error that wraps
// ErrTooLarge if the store would reject the transaction for its size.
func (l *limits) check(txn *protocol.Transaction) error {
	if n := len(txn.Mutations); n > l.stricter.TxnOps {
		return fmt.Errorf("%w: %d mutations", ErrTooLarge, n)
	}
	if n := len(txn.Preconditions); n > tuning.TransactionPreconditions*l.stricter.TxnOps {
		return fmt.Errorf("%w: %d preconditions", ErrTooLarge, n)
	}
	total := (len(txn.Preconditions) + len(txn.Mutations)) * tuning.TransactionEntryBytes
	for i := range txn.Mutations {
		size, err := l.encodeValue(&txn.Mutations[i])
		if err != nil {
			return err
		}
		total += size
	}
	if total > tuning.TransactionBytes {
		return fmt.Errorf("%w: %d bytes in total", ErrTooLarge, total)
	}
	return nil
}

// encodeValue encodes the value of a mutation in place, if it has one, and returns the
// value's size in bytes as JSON.
func (l *limits) encodeValue(mutation *protocol.Mutation) (size int, err error) {
	if mutation.Value == nil {
		return 0, nil
	}
	raw, size, err := codec.EncodeSized(mutation.Value)
	if err != nil {
		return 0, err
	}
	mutation.Value = raw
	if size > l.valueBytes() {
		return 0, fmt.Errorf("%w: value of %d bytes for key %s", ErrTooLarge, size, mutation.Set)
	}
	return size, nil
}
