package leader

import (
	"context"
	"errors"
	"time"

	"marblehaven/internal/clock"
	"marblehaven/internal/codec"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// watchResult holds changes of open records. All changes that were answered to their
// writers before asOf are in it or in an earlier one.
type watchResult struct {
	events []protocol.WatchEvent
	asOf   time.Time
}

// termConfirmation says that the term key was read unchanged by a call begun at asOf.
type termConfirmation struct{ asOf time.Time }

// watchOpenJobs learns of new jobs and cancellations. Each return of the watch also
// proves that all changes answered before its call began are known here.
func (l *Leader) watchOpenJobs(ctx context.Context, revision protocol.Revision) {
	lastRead := time.Now()
	for ctx.Err() == nil {
		start := time.Now()
		reply, err := l.Store.Watch(ctx, records.PrefixOpen, revision, tuning.WatchHold)
		switch {
		case err == nil:
			revision = reply.Revision
			l.post(watchResult{reply.Events, start})
		case errors.Is(err, kvstore.ErrCompacted):
		default:
			clock.Sleep(ctx, tuning.ElectionRetry)
			continue
		}
		// All open records are read again now and then: a lost event would leave an
		// accepted job waiting for ever, or a cancelled one running.
		compacted := err != nil
		if !compacted && time.Since(lastRead) <= tuning.RereadInterval {
			continue
		}
		result, listRevision, err := l.listOpenJobs(ctx)
		if err != nil {
			clock.Sleep(ctx, tuning.ElectionRetry)
			continue
		}
		lastRead = time.Now()
		if compacted {
			revision = listRevision
		}
		l.post(result)
	}
}

// listOpenJobs reads all open records, as a watch would tell of them.
func (l *Leader) listOpenJobs(ctx context.Context) (watchResult, protocol.Revision, error) {
	result := watchResult{asOf: time.Now()}
	page, err := l.Store.ListAll(ctx, records.PrefixOpen)
	if err != nil {
		return watchResult{}, 0, err
	}
	for _, entry := range page.Entries {
		result.events = append(result.events, protocol.WatchEvent{Set: entry.Key, Value: entry.Value, Version: entry.Version})
	}
	return result, page.Revision, nil
}

func (r watchResult) apply(leader *Leader, now time.Time) { leader.onWatchResult(r, now) }

func (l *Leader) onWatchResult(result watchResult, now time.Time) {
	for _, event := range result.events {
		if event.Set == "" {
			continue
		}
		if _, segment := records.ParseOpenKey(event.Set); segment == records.NoSegment {
			l.applyOpenRecord(event.Set, event.Value, event.Version, now)
		}
	}
	l.lease.confirmedByWatch = result.asOf
}

// confirmTerm reads the term key once a second. Unchanged, it proves that the term is
// still this leader's; otherwise the newer term is reported, which ends this one.
func (l *Leader) confirmTerm(ctx context.Context) {
	for clock.Sleep(ctx, tuning.WatchHold) {
		start := time.Now()
		entry, err := l.Store.Get(ctx, records.KeyTerm)
		if err != nil {
			continue
		}
		if entry.Version != l.leadership.TermVersion {
			var newer records.LeaderRecord
			if codec.Unmarshal(entry.Value, &newer) == nil {
				l.OnNewerTerm(newer.Term)
			}
			return
		}
		l.post(termConfirmation{start})
	}
}

func (c termConfirmation) apply(leader *Leader, _ time.Time) { leader.lease.confirmedByTerm = c.asOf }

// confirmByPeers extends the leader's lease while the store proves nothing. The jobs
// that users were told are cancelled since the last confirmation are cancelled here as
// if their events had come. Once all controllers, this one included, have named theirs
// up to some time, no cancellation acknowledged before it is unknown. Nor is a newer
// term: whoever holds one knows it before it counts any agent's lease as expired, and
// this leader's peers would have named it.
func (l *Leader) confirmByPeers(now time.Time) {
	if l.lease.mayStart(now) || l.AcknowledgedCancellations == nil {
		return
	}
	asOf, jobIDs, ok := l.AcknowledgedCancellations(l.lease.lastConfirmation())
	if !ok {
		return
	}
	for _, jobID := range jobIDs {
		if job := l.jobs.open[jobID]; job != nil && !job.cancelled {
			job.awaitsOpenRecord = true
			l.cancelJob(job, now)
		}
	}
	l.lease.recordPeerProof(asOf)
}

// agentLeaseExpiry is when the lease of an agent whose heartbeat was answered at the
// given time has surely expired, by its own clock too.
func (l *Leader) agentLeaseExpiry(answered time.Time) time.Time {
	lease := seconds(l.Config.Deployment.Workers.LeaseS * (1 + tuning.ClockDrift))
	return answered.Add(lease + tuning.AgentLeaseMargin)
}
