package kvstore

import (
	"context"
	"fmt"
	"net/http"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// Commit applies a transaction. On ErrConflict the reply names the guards. All
// writes of the service come through here, so here they are held to the limits.
func (c *Client) Commit(ctx context.Context, txn protocol.Transaction) (protocol.TransactionReply, error) {
	var r protocol.TransactionReply
	if err := c.limits.check(&txn); err != nil {
		return r, err
	}
	status, err := c.call(ctx, tuning.StateTimeout, http.MethodPost, "/commit", txn,
		map[int]any{200: &r, 409: &r, 400: &r})
	switch {
	case err != nil:
		return r, err
	case status == 409:
		return r, ErrConflict
	case status == 400 && r.Error == protocol.ReasonNoLease:
		return r, ErrLeaseExpired
	case status == 400:
		// The limits may have become smaller, which no message announces.
		c.UseAnnouncedLimits()
		return r, fmt.Errorf("%w: %s", ErrInvalidRequest, r.Error)
	case status != 200 || r.Revision == 0:
		return r, unexpected(status)
	}
	return r, nil
}
