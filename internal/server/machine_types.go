package server

import (
	"context"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// loadMachineTypes retries until this controller knows the machine types, which it
// needs to check what users submit. The leader's copy in the key-value store comes
// first, so that not every controller spends some of the cloud's call budget.
func (c *controller) loadMachineTypes(ctx context.Context) {
	for !c.users.HasMachineTypes() {
		var types []protocol.MachineType
		entry, err := c.store.Get(ctx, records.KeyCatalog)
		if err == nil {
			err = codec.Unmarshal(entry.Value, &types)
		}
		if err != nil || len(types) == 0 {
			types, err = c.cloud.Catalog(ctx)
		}
		if err == nil {
			c.users.SetMachineTypes(types)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(tuning.ElectionRetry):
		}
	}
}
