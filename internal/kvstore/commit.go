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

// CommitUntilKnown commits a transaction and returns once its outcome is final. Without a
// response the transaction may have been executed, or may be executed later, so
// CommitUntilKnown sends it again, unchanged. The error is one of these:
//
//   - nil: executed once. The reply has the revision, except after retries of a transaction
//     that sets no key under a precondition.
//   - ErrConflict: not executed, and never will be, unless the precondition on termKey
//     failed, which leaves the outcome of earlier attempts open. The reply names the keys
//     whose preconditions failed.
//   - ErrInDoubt, or the context's error: the outcome is unknown, see ErrInDoubt.
//   - any other error: no attempt was executed or will be.
//
// While the precondition on termKey holds, only the caller may create or delete a key that
// the transaction mutates under a precondition, or set a key that the transaction sets. The
// caller must have at most one transaction in flight.
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
			// The transaction cannot be sent again, for instance because the limits have
			// become smaller. An earlier attempt may still have been executed.
			return reply, fmt.Errorf("%w: %w", ErrInDoubt, err)
		}
		clock.Sleep(ctx, tuning.StoreRetryPause)
	}
	return protocol.TransactionReply{}, ctx.Err()
}

// resolveConflict determines whether a conflict shows that an earlier attempt without a
// response was executed. Such an attempt has changed every key that the transaction mutates,
// so the preconditions on all of these keys fail now. A precondition that still holds proves
// that no attempt was executed. No attempt will be executed later either, because a key
// never returns to an earlier version, so the failed preconditions stay failed.
func (c *Client) resolveConflict(ctx context.Context, txn *protocol.Transaction, reply protocol.TransactionReply, conflict error) (protocol.TransactionReply, error) {
	setKey, executed := executedBefore(txn, reply.FailedKeys)
	switch {
	case !executed:
		return reply, conflict
	case setKey == "":
		return protocol.TransactionReply{}, nil // only deletions, which leave no version to read
	}
	return c.readRevision(ctx, setKey, reply)
}

// readRevision reads the revision at which an executed transaction set a key.
func (c *Client) readRevision(ctx context.Context, setKey string, conflictReply protocol.TransactionReply) (protocol.TransactionReply, error) {
	for ctx.Err() == nil {
		entry, err := c.Get(ctx, setKey)
		switch {
		case err == nil:
			return protocol.TransactionReply{Revision: entry.Version.Revision()}, nil
		case errors.Is(err, ErrNotFound):
			return conflictReply, fmt.Errorf("%w: key %q, which the transaction sets, does not exist", ErrInDoubt, setKey)
		}
		clock.Sleep(ctx, tuning.StoreRetryPause)
	}
	return protocol.TransactionReply{}, ctx.Err()
}

// executedBefore reports whether the preconditions failed on all keys that a transaction
// mutates under a precondition. Without any such key it reports false. It also returns the
// first of these keys that the transaction sets.
func executedBefore(txn *protocol.Transaction, failedKeys []string) (setKey string, executed bool) {
	conditional := map[string]bool{}
	for _, precondition := range txn.Preconditions {
		conditional[precondition.Key] = true
	}
	for _, mutation := range txn.Mutations {
		key := mutation.Set + mutation.Delete // exactly one of these is not empty
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
