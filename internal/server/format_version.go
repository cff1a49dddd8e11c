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

// recordVersion records once which formats of records this program reads, for the
// leader to learn when all controllers do. A controller never goes back to an
// earlier version, so the record holds for good.
func (n *controller) recordVersion(ctx context.Context) {
	for {
		err := n.writeVersion(ctx)
		if err == nil {
			return
		}
		n.log.Debug("recording the version", "err", err)
		if !clock.Sleep(ctx, tuning.ElectionRetry) {
			return
		}
	}
}

func (n *controller) writeVersion(ctx context.Context) error {
	key := records.NodeKey(n.cfg.Node)
	entry, err := n.store.Get(ctx, key)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return err
	}
	var v records.FormatVersion
	if err == nil && codec.Unmarshal(entry.Value, &v) == nil && v.Format >= n.format {
		return nil
	}
	_, err = n.store.Commit(ctx, protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: key, Version: entry.Version}},
		Mutations:     []protocol.Mutation{{Set: key, Value: records.FormatVersion{Format: n.format}}},
	})
	return err
}
