package kvstore

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"marblehaven/internal/clock"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// CommitUntilKnown carries a transaction through to an outcome that holds for good.
// Without an answer the transaction may have been executed, or may be executed later, so
// it is sent again, unchanged. The result is one of these:
//
//   - nil: executed once; the reply has the revision.
//   - ErrConflict: not executed, and never will be, or the precondition on termKey has
//     failed; the reply names the keys whose preconditions failed.
//   - ErrInDoubt, or the context's error: unknown, see there.
//   - any other error: no attempt was executed, nor will be.
//
// As long as the precondition on termKey holds, the caller must be the only one to create
// or delete any key that the transaction mutates under a precondition, or to set any key
// that it sets, and must have one transaction under way at a time.
func (c *Client) CommitUntilKnown(ctx context.Context, txn protocol.Transaction, termKey string) (protocol.TransactionReply, error) {
	maybeExecuted := false // whether an earlier attempt may have been executed
	for ctx.Err() == nil {
		reply, err := c.Commit(ctx, txn)
		switch {
		case errors.Is(err, ErrOutcomeUnknown):
			maybeExecuted = true
		case !maybeExecuted, err == nil:
			return reply, err
		case errors.Is(err, ErrConflict) && slices.Contains(reply.FailedKeys, termKey):
			return reply, err
		case errors.Is(err, ErrConflict):
			return c.resolveConflict(ctx, &txn, reply, err)
		case !errors.Is(err, ErrUnavailable):
			// The transaction cannot be sent any more, for instance since the limits
			// have become smaller. That says nothing of the first attempt.
			return reply, fmt.Errorf("%w: %w", ErrInDoubt, err)
		}
		clock.Sleep(ctx, tuning.ElectionRetry)
	}
	return protocol.TransactionReply{}, ctx.Err()
}

// resolveConflict tells whether a conflict shows that an earlier, unanswered attempt was
// executed: that would have changed every key that the transaction mutates, so the
// preconditions on all of these would fail. One that holds proves that no attempt was
// executed; and none ever will be, since a key never gets an earlier version again.
func (c *Client) resolveConflict(ctx context.Context, txn *protocol.Transaction, reply protocol.TransactionReply, conflict error) (protocol.TransactionReply, error) {
	setKey, executed := executedBefore(txn, reply.FailedKeys)
	switch {
	case !executed:
		return reply, conflict
	case setKey == "":
		return protocol.TransactionReply{}, nil // it only deleted keys, which leaves no version to read
	}
	return c.readRevision(ctx, setKey, reply)
}

// readRevision reads at which revision an executed transaction set a key.
func (c *Client) readRevision(ctx context.Context, setKey string, conflict protocol.TransactionReply) (protocol.TransactionReply, error) {
	for ctx.Err() == nil {
		entry, err := c.Get(ctx, setKey)
		switch {
		case err == nil:
			return protocol.TransactionReply{Revision: entry.Version.Revision()}, nil
		case errors.Is(err, ErrNotFound):
			return conflict, fmt.Errorf("%w: key %q, which it sets, does not exist", ErrInDoubt, setKey)
		}
		clock.Sleep(ctx, tuning.ElectionRetry)
	}
	return protocol.TransactionReply{}, ctx.Err()
}

// executedBefore tells whether the preconditions on all keys that a transaction mutates
// under a precondition have failed, of which there must be one. It also names the first
// of these keys that the transaction sets.
func executedBefore(txn *protocol.Transaction, failedKeys []string) (setKey string, executed bool) {
	conditional := map[string]bool{}
	for _, precondition := range txn.Preconditions {
		conditional[precondition.Key] = true
	}
	for _, mutation := range txn.Mutations {
		key := mutation.Set + mutation.Delete // one of them is empty
		if !conditional[key] {
			continue
		}
		if !slices.Contains(failedKeys, key) {
			return "", false
		}
		executed = true
		if setKey == "" {
			setKey = mutation.Set
		}
	}
	return setKey, executed
}
