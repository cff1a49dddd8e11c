package config

import "time"

// The settings files give times in seconds as decimal numbers. Inside, they are
// durations.
func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }

// HeartbeatInterval is the pause between two heartbeats of an agent.
func (w Workers) HeartbeatInterval() time.Duration { return seconds(w.ReportS) }

// LeaseDuration is the life of an agent's lease.
func (w Workers) LeaseDuration() time.Duration { return seconds(w.LeaseS) }

// CancellationLimit is the time after an acknowledged cancellation within which no task
// of the job may run any more.
func (w Workers) CancellationLimit() time.Duration { return seconds(w.CancelS) }

// CancellationShare is a share of the cancellation limit.
func (w Workers) CancellationShare(share float64) time.Duration { return seconds(w.CancelS * share) }

// ListLag is how far the cloud's list of machines may lag behind.
func (c Cloud) ListLag() time.Duration { return seconds(c.ListLagS) }
