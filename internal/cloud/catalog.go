package cloud

import (
	"context"
	"net/http"

	"marblehaven/internal/protocol"
)

// Catalog reads the machine types and their current prices. Unusable types are left out; a
// catalog without a usable type is an error.
func (c *Client) Catalog(ctx context.Context) ([]protocol.MachineType, error) {
	var catalog protocol.Catalog
	request := call{
		operation: OperationCatalog,
		target:    "machine types",
		method:    http.MethodGet,
		path:      "/catalog",
		responses: map[int]any{http.StatusOK: &catalog},
	}
	if err := c.do(ctx, request); err != nil {
		return nil, err
	}
	var usable []protocol.MachineType
	for _, machineType := range catalog.Types {
		if isUsable(machineType) {
			usable = append(usable, machineType)
		}
	}
	if len(usable) == 0 {
		return nil, request.protocolError("empty catalog")
	}
	return usable, nil
}

// isUsable reports whether a machine type has a name, a price above 0, at least one zone, and
// no negative amount.
func isUsable(machineType protocol.MachineType) bool {
	return machineType.Name != "" &&
		machineType.Cores >= 0 &&
		machineType.MemGB >= 0 &&
		machineType.Price > 0 &&
		machineType.BootS >= 0 &&
		len(machineType.Zones) > 0
}
