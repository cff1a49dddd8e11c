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

// CommitUntilKnown carries a transaction through to an outcome that holds for good. Without an
// answer it may have been executed, or be executed later, so it is sent again,
// unchanged. The result is one of these:
//
//   - nil: it was executed, once; the reply has its revision.
//   - ErrConflict: it was not executed and never will be, or the condition on the fence
//     has failed; the reply names the conditions that failed.
//   - ErrInDoubt, or the context's end: see there.
//   - any other error: no try of it was executed.
//
// As long as the condition on the fence holds, the caller must be the only one to create
// or delete any of the keys that the transaction changes under a condition, or to set
// any that it sets, and must have one transaction under way at a time.
func (c *Client) CommitUntilKnown(ctx context.Context, txn protocol.Transaction, fence string) (protocol.TransactionReply, error) {
	unanswered := false
	for ctx.Err() == nil {
		reply, err := c.Commit(ctx, txn)
		switch {
		case errors.Is(err, ErrOutcomeUnknown):
			unanswered = true
		case !unanswered:
			return reply, err
		case errors.Is(err, ErrConflict) && slices.Contains(reply.FailedKeys, fence):
			return reply, err
		case errors.Is(err, ErrConflict):
			return c.resolveConflict(ctx, &txn, reply)
		case err == nil:
			return reply, nil
		case !errors.Is(err, ErrUnavailable):
			// It cannot be sent any more, for instance since the limits have
			// become smaller. That says nothing of the first try.
			return reply, fmt.Errorf("%w: %w", ErrInDoubt, err)
		}
		clock.Sleep(ctx, tuning.ElectionRetry)
	}
	return protocol.TransactionReply{}, ctx.Err()
}

// resolveConflict tells whether a conflict shows that an earlier, unanswered try was
// executed: that would have changed every key that the transaction changes, so the
// conditions on all of these fail. One that holds proves that it was not executed; and
// since versions never come back it never will be.
func (c *Client) resolveConflict(ctx context.Context, txn *protocol.Transaction, reply protocol.TransactionReply) (protocol.TransactionReply, error) {
	set, executed := changedKeys(txn, reply.FailedKeys)
	if !executed {
		return reply, ErrConflict
	}
	if set == "" {
		return protocol.TransactionReply{}, nil // it deleted records only, which leaves no version
	}
	for ctx.Err() == nil {
		item, err := c.Get(ctx, set)
		switch {
		case err == nil:
			return protocol.TransactionReply{Revision: item.Version.Revision()}, nil
		case errors.Is(err, ErrNotFound):
			return reply, fmt.Errorf("%w: %s is gone", ErrInDoubt, set)
		}
		clock.Sleep(ctx, tuning.ElectionRetry)
	}
	return protocol.TransactionReply{}, ctx.Err()
}

// changedKeys tells whether all conditions on keys that a transaction changes have
// failed, of which there must be one, and names a key that it sets under a condition.
func changedKeys(txn *protocol.Transaction, failed []string) (set string, allFailed bool) {
	conditions := map[string]bool{}
	for _, guard := range txn.Preconditions {
		conditions[guard.Key] = true
	}
	for _, change := range txn.Mutations {
		key := change.Set + change.Delete
		if !conditions[key] {
			continue
		}
		if !slices.Contains(failed, key) {
			return "", false
		}
		allFailed = true
		if set == "" {
			set = change.Set
		}
	}
	return set, allFailed
}
