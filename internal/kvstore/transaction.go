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
// preconditions failed. All writes to the store come through here, so that they are held
// to the limits here.
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
	request.body = txn // encoded by the check
	err := c.do(ctx, request)
	switch {
	case errors.Is(err, ErrInvalidRequest):
		return reply, request.operationError(c.rejectionError(reply.Error))
	case err == nil && reply.Revision == 0:
		return reply, request.protocolError("answer without a revision")
	}
	return reply, err
}

// rejectionError is the error of a transaction that the store rejectionError for a reason.
func (c *Client) rejectionError(reason string) error {
	if reason == protocol.ReasonNoLease {
		return ErrLeaseExpired
	}
	// The limits may have become smaller, which no message announces.
	c.UseAnnouncedLimits()
	return fmt.Errorf("%w: %s", ErrInvalidRequest, reason)
}

// summarizeMutatedKeys names the first key that a transaction mutates, and how many more there are.
func summarizeMutatedKeys(txn *protocol.Transaction) string {
	if len(txn.Mutations) == 0 {
		return "no key"
	}
	first := txn.Mutations[0].Set + txn.Mutations[0].Delete // one of them is empty
	if others := len(txn.Mutations) - 1; others > 0 {
		return fmt.Sprintf("%s and %d more", first, others)
	}
	return first
}
