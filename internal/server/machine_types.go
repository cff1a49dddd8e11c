package server

import (
	"context"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// loadMachineTypes finds out once which machine types there are: from the leader's
// copy, so that the cloud's call budget is not spent by every node, or from
// the cloud.
func (n *controller) loadMachineTypes(ctx context.Context) {
	for !n.users.HasTypes() {
		var types []protocol.MachineType
		entry, err := n.store.Get(ctx, records.KeyCatalog)
		if err == nil {
			err = codec.Unmarshal(entry.Value, &types)
		}
		if err != nil || len(types) == 0 {
			types, err = n.cloud.Catalog(ctx)
		}
		if err == nil {
			n.users.SetTypes(types)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(tuning.ElectionRetry):
		}
	}
}
