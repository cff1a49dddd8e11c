package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// GrantLease opens a lease.
func (c *Client) GrantLease(ctx context.Context, life time.Duration) (protocol.LeaseID, error) {
	var g protocol.Lease
	status, err := c.call(ctx, tuning.StateTimeout, http.MethodPost, "/grants",
		protocol.LeaseRequest{TTLMS: life.Milliseconds()}, map[int]any{200: &g})
	if err == nil && (status != 200 || g.ID == 0) {
		err = unexpected(status)
	}
	return g.ID, err
}

// KeepAlive renews a lease.
func (c *Client) KeepAlive(ctx context.Context, lease protocol.LeaseID) error {
	status, err := c.call(ctx, tuning.StateTimeout, http.MethodPost, fmt.Sprintf("/grants/%d/touch", lease), nil, nil)
	switch {
	case err != nil:
		return err
	case status == 404:
		return ErrLeaseExpired
	case status != 200:
		return unexpected(status)
	}
	return nil
}

// RevokeLease ends a lease at once.
func (c *Client) RevokeLease(ctx context.Context, lease protocol.LeaseID) error {
	status, err := c.call(ctx, tuning.StateTimeout, http.MethodDelete, fmt.Sprintf("/grants/%d", lease), nil, nil)
	if err == nil && status != 200 && status != 404 {
		err = unexpected(status)
	}
	return err
}
