package leader

import (
	"context"
	"time"

	"marblehaven/internal/clock"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// machineCatalog holds the cloud's machine types with their prices.
type machineCatalog struct {
	types    []protocol.MachineType
	index    map[string]int // of types, by name
	loaded   bool
	nextRead time.Time // no read starts before this time
}

func newMachineCatalog() machineCatalog { return machineCatalog{index: map[string]int{}} }

func (c *machineCatalog) set(types []protocol.MachineType) {
	c.types = types
	c.index = make(map[string]int, len(types))
	for i, machineType := range types {
		c.index[machineType.Name] = i
	}
}

// catalogResult holds the machine types as read from the cloud.
type catalogResult struct {
	types []protocol.MachineType
}

// refreshCatalog starts a read of the machine types and their prices when one is due.
func (l *Leader) refreshCatalog(now time.Time) {
	if !now.After(l.catalog.nextRead) {
		return
	}
	l.catalog.nextRead = now.Add(tuning.CatalogInterval)
	save := !l.catalog.loaded
	go func() {
		types, err := l.Cloud.Catalog(l.ctx)
		for err != nil && clock.Sleep(l.ctx, tuning.MachineBackoff) {
			types, err = l.Cloud.Catalog(l.ctx)
		}
		if err != nil {
			return
		}
		l.post(catalogResult{types})
		if save {
			l.saveCatalog(l.ctx, types)
		}
	}()
}

func (r catalogResult) apply(leader *Leader, _ time.Time) {
	if r.types != nil {
		leader.setMachineTypes(r.types)
		leader.catalog.loaded = true
	}
}

func (l *Leader) setMachineTypes(types []protocol.MachineType) {
	l.catalog.set(types)
	l.cycle.request()
}

// saveCatalog stores the catalog for controllers that cannot reach the cloud. The loss of
// this write does no harm, so it is not part of the batched commits.
func (l *Leader) saveCatalog(ctx context.Context, types []protocol.MachineType) {
	if err := l.putRecord(ctx, records.KeyCatalog, types); err != nil {
		l.Log.Debug("saving the catalog failed, it is not retried", "err", err)
	}
}
