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

// watchOpenJobs learns of new jobs and cancellations. Each return also proves that all
// told before the call began are known here.
func (c *Leader) watchOpenJobs(ctx context.Context, revision protocol.Revision) {
	read := time.Now()
	for ctx.Err() == nil {
		start := time.Now()
		ev, err := c.Store.Watch(ctx, records.PrefixOpen, revision, tuning.WatchHold)
		switch {
		case err == nil:
			revision = ev.Revision
			c.post(watchResult{ev.Events, start})
		case errors.Is(err, kvstore.ErrCompacted):
		default:
			clock.Sleep(ctx, tuning.ElectionRetry)
			continue
		}
		// All is read again now and then: an event that was lost would leave an
		// accepted job waiting for ever, or a cancelled one running.
		if err != nil || time.Since(read) > tuning.RereadInterval {
			start := time.Now()
			page, lerr := c.Store.ListAll(ctx, records.PrefixOpen)
			if lerr != nil {
				clock.Sleep(ctx, tuning.ElectionRetry)
				continue
			}
			read = time.Now()
			m := watchResult{asOf: start}
			for _, entry := range page.Entries {
				m.events = append(m.events, protocol.WatchEvent{Set: entry.Key, Value: entry.Value, Version: entry.Version})
			}
			if err != nil {
				revision = page.Revision
			}
			c.post(m)
		}
	}
}

// confirmTerm proves once a second that the term is still ours.
func (c *Leader) confirmTerm(ctx context.Context) {
	for clock.Sleep(ctx, tuning.WatchHold) {
		start := time.Now()
		entry, err := c.Store.Get(ctx, records.KeyTerm)
		if err != nil {
			continue
		}
		if entry.Version != c.leadership.TermVersion {
			var t records.LeaderRecord
			if codec.Unmarshal(entry.Value, &t) == nil {
				c.OnNewerTerm(t.Term)
			}
			return
		}
		c.post(termConfirmation{start})
	}
}

// lastConfirmation is the time up to which the state service itself has proved that.
func (c *Leader) lastConfirmation() time.Time {
	if c.lease.confirmedByTerm.Before(c.lease.confirmedByWatch) {
		return c.lease.confirmedByTerm
	}
	return c.lease.confirmedByWatch
}

// lastProof is the time up to which no cancellation acknowledged to a user and no
// newer term can be unknown here.
func (c *Leader) lastProof() time.Time {
	if at := c.lastConfirmation(); at.After(c.lease.confirmedByPeers) {
		return at
	}
	return c.lease.confirmedByPeers
}

// confirmByPeers goes on where the state service gives no proof. The jobs that
// users were told are cancelled since then are stopped here as if their events had
// come; once all controllers, this one included, have named theirs up to some time,
// nothing told before it is unknown. Nor is a newer term: whoever holds one knows it
// before it counts anybody's lease as over, and has not answered yet.
func (c *Leader) confirmByPeers(now time.Time) {
	since := c.lastConfirmation()
	if now.Sub(since) < tuning.StartConfirmationAge || c.Acknowledged == nil {
		return
	}
	asOf, jobIDs, ok := c.Acknowledged(since)
	if !ok {
		return
	}
	for _, jobID := range jobIDs {
		if job := c.jobs.open[jobID]; job != nil && !job.cancelled {
			job.awaitsOpenRecord = true
			c.cancelJob(job, now)
		}
	}
	if asOf.After(c.lease.confirmedByPeers) {
		c.lease.confirmedByPeers = asOf
	}
}

// leaseDuration is X: how long after its last proof of authority a leader may answer
// reports, so that a machine kept alive by it still loses its tasks in time.
func (c *Leader) leaseDuration() time.Duration {
	w := c.Config.Deployment.Workers
	return max(0, seconds(w.CancelS-w.LeaseS)-tuning.LeaderLeaseMargin)
}

func (c *Leader) agentLeaseExpiry(t time.Time) time.Time {
	return t.Add(seconds(c.Config.Deployment.Workers.LeaseS*(1+tuning.ClockDrift)) + tuning.AgentLeaseMargin)
}

func (c *Leader) onWatchResult(m watchResult, now time.Time) {
	for _, e := range m.events {
		if e.Set != "" {
			if _, piece := records.ParseOpenKey(e.Set); piece == records.NoSegment {
				c.applyOpenRecord(e.Set, e.Value, e.Version, now)
			}
		}
	}
	c.lease.confirmedByWatch = m.asOf
}
