package cloud

import (
	"context"
	"fmt"
	"net/http"

	"marblehaven/internal/protocol"
)

// Catalog reads machine types and current prices. Types that make no sense are
// left out.
func (c *Client) Catalog(ctx context.Context) ([]protocol.MachineType, error) {
	var cat protocol.Catalog
	if err := c.call(ctx, http.MethodGet, "/catalog", nil, map[int]any{200: &cat}); err != nil {
		return nil, err
	}
	var ok []protocol.MachineType
	for _, t := range cat.Types {
		if t.Name != "" && t.Cores >= 0 && t.MemGB >= 0 && t.Price > 0 && t.BootS >= 0 && len(t.Zones) > 0 {
			ok = append(ok, t)
		}
	}
	if len(ok) == 0 {
		return nil, fmt.Errorf("%w: empty catalog", ErrUnavailable)
	}
	return ok, nil
}
