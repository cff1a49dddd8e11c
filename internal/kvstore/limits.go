package kvstore

import (
	"fmt"
	"sync/atomic"

	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// limits is what a transaction is held to. The number of mutations always respects the
// announced limits. Values may be as large as the present limit while records are written
// so that the previous version of this software can read them, and respect the announced
// limit from the moment when announced is set, which is never undone.
type limits struct {
	present      config.StateLimits
	stricter     config.StateLimits // of the present and the announced limits
	useAnnounced atomic.Bool
}

func newLimits(state config.State) *limits {
	return &limits{present: state.StateLimits, stricter: state.Smaller()}
}

func (l *limits) valueBytes() int {
	if l.useAnnounced.Load() {
		return l.stricter.ValueBytes()
	}
	return l.present.ValueBytes()
}

// check encodes the values of a transaction in place, and fails with ErrTooLarge if the
// store would reject the transaction for its size.
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
		return fmt.Errorf("%w: %d bytes in all", ErrTooLarge, total)
	}
	return nil
}

// encodeValue encodes the value of a mutation, if it has one, and returns the value's size
// in bytes as JSON.
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
		return 0, fmt.Errorf("%w: %d bytes at %s", ErrTooLarge, size, mutation.Set)
	}
	return size, nil
}
