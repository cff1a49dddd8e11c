package config

import "time"

// seconds converts a time from the settings, a decimal number of seconds, to a duration.
func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }

// HeartbeatInterval returns the interval between two heartbeats of an agent.
func (w Workers) HeartbeatInterval() time.Duration { return seconds(w.ReportS) }

// LeaseDuration returns how long an agent's lease lasts after its last answered heartbeat.
func (w Workers) LeaseDuration() time.Duration { return seconds(w.LeaseS) }

// CancellationLimit returns the time after an acknowledged cancellation within which no task
// of the job may run any more.
func (w Workers) CancellationLimit() time.Duration { return seconds(w.CancelS) }

// CancellationShare returns a share of the cancellation limit.
func (w Workers) CancellationShare(share float64) time.Duration { return seconds(w.CancelS * share) }

// ListLag returns by how much the cloud's list of machines may lag behind the actual machines.
func (c Cloud) ListLag() time.Duration { return seconds(c.ListLagS) }
