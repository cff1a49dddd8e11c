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

// watchResult holds changes of open records. Every change that the store confirmed to its
// writer before asOf is in this result or in an earlier one.
type watchResult struct {
	events []protocol.WatchEvent
	asOf   time.Time
}

// termConfirmation is the result of a read of the term key, begun at asOf, that found the
// key unchanged.
type termConfirmation struct{ asOf time.Time }

// watchOpenJobs receives new jobs and cancellations from the store. Each return of the
// watch also proves that the leader has received every change that the store confirmed
// before the watch call began.
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
			clock.Sleep(ctx, tuning.StoreRetryPause)
			continue
		}
		// All open records are read again every RereadInterval: if an event were lost, an
		// accepted job would otherwise never start, or a cancelled one would never be
		// stopped.
		compacted := err != nil
		if !compacted && time.Since(lastRead) <= tuning.RereadInterval {
			continue
		}
		result, listRevision, err := l.listOpenJobs(ctx)
		if err != nil {
			clock.Sleep(ctx, tuning.StoreRetryPause)
			continue
		}
		lastRead = time.Now()
		if compacted {
			revision = listRevision
		}
		l.post(result)
	}
}

// listOpenJobs reads all open records and returns them in the form of watch events.
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

// confirmTerm reads the term key once a second. An unchanged key proves that this leader
// still holds the term. A changed key means a newer term, which is reported and ends this
// one.
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

// confirmByPeers extends the leader lease by reports of the controllers while the store
// confirms nothing. Every job whose cancellation was acknowledged to a user since the
// last confirmation is cancelled here as if its watch event had arrived.
//
// Once all controllers, this one included, have reported their acknowledgments up to some
// time, this leader has missed no cancellation acknowledged before that time. It has
// missed no newer term either: the reports also carry each controller's newest leader
// record, and the leader of a newer term has its own record before it counts any agent's
// lease as expired.
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

// agentLeaseExpiry returns the time after which the lease of an agent whose heartbeat was
// answered at the given time must have expired, by the agent's own clock too.
func (l *Leader) agentLeaseExpiry(answered time.Time) time.Time {
	lease := seconds(l.Config.Deployment.Workers.LeaseS * (1 + tuning.ClockDrift))
	return answered.Add(lease + tuning.AgentLeaseMargin)
}
