package server

import (
	"context"
	"errors"

	"marblehaven/internal/clock"
	"marblehaven/internal/codec"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// recordFormatVersion retries until the key-value store holds the version of the record
// formats that this controller supports. The leader writes records in a new format only
// when all controllers have recorded that they support it. A controller is never
// downgraded to an earlier version, so the record is written once.
func (c *controller) recordFormatVersion(ctx context.Context) {
	for {
		err := c.writeFormatVersion(ctx)
		if err == nil {
			return
		}
		c.log.Debug("recording the supported format version failed; retrying", "err", err)
		if !clock.Sleep(ctx, tuning.StoreRetryPause) {
			return
		}
	}
}

// writeFormatVersion writes this controller's format version unless the store has this
// version or a later one. A record that cannot be decoded is overwritten. The
// precondition on the key's version keeps a delayed write from overwriting a newer one.
func (c *controller) writeFormatVersion(ctx context.Context) error {
	key := records.NodeVersionKey(c.cfg.Node)
	entry, err := c.store.Get(ctx, key)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return err
	}
	var recorded records.FormatVersion
	if err == nil && codec.Unmarshal(entry.Value, &recorded) == nil && recorded.Format >= c.supportedFormat {
		return nil
	}
	_, err = c.store.Commit(ctx, protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: key, Version: entry.Version}},
		Mutations:     []protocol.Mutation{{Set: key, Value: records.FormatVersion{Format: c.supportedFormat}}},
	})
	return err
}
