package server

import (
	"context"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// loadMachineTypes retries until it has loaded the machine types, which this controller
// needs to check the jobs that users submit. It reads the leader's copy in the key-value
// store first and calls the cloud only if that fails, so that not every controller spends
// part of the cloud's call budget.
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
		case <-time.After(tuning.StoreRetryPause):
		}
	}
}
