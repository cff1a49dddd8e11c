package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// Commit sends a transaction once. After an ErrConflict the reply names the keys whose
// preconditions failed. Commit is the only way to write to the store, so it checks the
// transaction against the limits.
func (c *Client) Commit(ctx context.Context, txn protocol.Transaction) (protocol.TransactionReply, error) {
	var reply protocol.TransactionReply
	request := call{
		operation: OperationCommit,
		target:    summarizeMutatedKeys(&txn),
		timeout:   tuning.StoreTimeout,
		method:    http.MethodPost,
		path:      "/commit",
		responses: map[int]any{
			http.StatusOK:         &reply,
			http.StatusConflict:   &reply,
			http.StatusBadRequest: &reply,
		},
		statusErrors: map[int]error{
			http.StatusConflict:   ErrConflict,
			http.StatusBadRequest: ErrInvalidRequest,
		},
	}
	if err := c.limits.check(&txn); err != nil {
		return reply, request.operationError(err)
	}
	request.body = txn // check has encoded the values
	err := c.do(ctx, request)
	switch {
	case errors.Is(err, ErrInvalidRequest):
		return reply, request.operationError(c.rejectionError(reply.Error))
	case err == nil && reply.Revision == 0:
		return reply, request.protocolError("answer without a revision")
	}
	return reply, err
}

// rejectionError returns the error of a transaction that the store rejected for a reason.
// Unless the reason is an expired lease, values are limited by the announced limits from
// then on.
func (c *Client) rejectionError(reason string) error {
	if reason == protocol.ReasonNoLease {
		return ErrLeaseExpired
	}
	// The announced limits may have taken effect. The store sends no notice of that.
	c.UseAnnouncedLimits()
	return fmt.Errorf("%w: %s", ErrInvalidRequest, reason)
}

// summarizeMutatedKeys returns the first key that a transaction mutates and the number of
// the others.
func summarizeMutatedKeys(txn *protocol.Transaction) string {
	if len(txn.Mutations) == 0 {
		return "no key"
	}
	first := txn.Mutations[0].Set + txn.Mutations[0].Delete // exactly one of these is not empty
	if others := len(txn.Mutations) - 1; others > 0 {
		return fmt.Sprintf("%s and %d more", first, others)
	}
	return first
}
