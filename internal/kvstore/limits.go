package kvstore

import (
	"fmt"
	"sync/atomic"

	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// limits is what a transaction is held to. Its number of changes always respects
// the announced limits. Values may be as large as the present limit while records
// are written as the previous version of the service reads them, and respect the
// announced limit from the moment when strict is set, which is never undone.
type limits struct {
	present   config.StateLimits
	smaller   config.StateLimits
	announced atomic.Bool
}

func newLimits(state config.State) *limits {
	return &limits{present: state.StateLimits, smaller: state.Smaller()}
}

func (l *limits) valueBytes() int {
	if l.announced.Load() {
		return l.smaller.ValueBytes()
	}
	return l.present.ValueBytes()
}

// check encodes the values of a transaction and fails with ErrTooLarge if the
// state service would refuse it.
func (l *limits) check(txn *protocol.Transaction) error {
	if n := len(txn.Mutations); n > l.smaller.TxnOps {
		return fmt.Errorf("%w: %d changes", ErrTooLarge, n)
	}
	if n := len(txn.Preconditions); n > tuning.TransactionPreconditions*l.smaller.TxnOps {
		return fmt.Errorf("%w: %d conditions", ErrTooLarge, n)
	}
	total := len(txn.Preconditions) * tuning.TransactionEntryBytes
	for i := range txn.Mutations {
		change := &txn.Mutations[i]
		total += tuning.TransactionEntryBytes
		if change.Value == nil {
			continue
		}
		raw, size, err := codec.EncodeSized(change.Value)
		if err != nil {
			return err
		}
		change.Value = raw
		if size > l.valueBytes() {
			return fmt.Errorf("%w: %d bytes at %s", ErrTooLarge, size, change.Set)
		}
		total += size
	}
	if total > tuning.TransactionBytes {
		return fmt.Errorf("%w: %d bytes in all", ErrTooLarge, total)
	}
	return nil
}
