package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// GrantLease requests a lease that expires unless it is kept alive within its time to live.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (protocol.LeaseID, error) {
	var lease protocol.Lease
	request := call{
		operation: OperationGrant,
		target:    ttl.String(),
		timeout:   tuning.StoreTimeout,
		method:    http.MethodPost,
		path:      "/grants",
		body:      protocol.LeaseRequest{TTLMS: ttl.Milliseconds()},
		responses: map[int]any{http.StatusOK: &lease},
	}
	err := c.do(ctx, request)
	if err == nil && lease.ID == 0 {
		err = request.protocolError("answer without a lease")
	}
	return lease.ID, err
}

// KeepAlive renews a lease for its full time to live. The error wraps ErrLeaseExpired if
// the lease no longer exists.
func (c *Client) KeepAlive(ctx context.Context, lease protocol.LeaseID) error {
	return c.do(ctx, call{
		operation:    OperationKeepAlive,
		target:       fmt.Sprint(lease),
		timeout:      tuning.StoreTimeout,
		method:       http.MethodPost,
		path:         fmt.Sprintf("/grants/%d/touch", lease),
		statusErrors: map[int]error{http.StatusNotFound: ErrLeaseExpired},
	})
}

// RevokeLease ends a lease at once, which deletes the keys attached to it. A lease that no
// longer exists is not an error.
func (c *Client) RevokeLease(ctx context.Context, lease protocol.LeaseID) error {
	err := c.do(ctx, call{
		operation:    OperationRevoke,
		target:       fmt.Sprint(lease),
		timeout:      tuning.StoreTimeout,
		method:       http.MethodDelete,
		path:         fmt.Sprintf("/grants/%d", lease),
		statusErrors: map[int]error{http.StatusNotFound: ErrLeaseExpired},
	})
	if errors.Is(err, ErrLeaseExpired) {
		return nil
	}
	return err
}
