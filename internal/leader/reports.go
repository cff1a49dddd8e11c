package leader

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// machine finds a machine or makes one that is known by name only.
func (c *Controller) machine(id string, now time.Time) *cluster.Machine {
	m := c.machines[id]
	if m == nil {
		// An earlier leader may go on answering it for X, and then its lease
		// runs: only after that its recorded tasks count as gone.
		m = cluster.NewMachine(id, c.floor, now, c.leaseFrom(c.takeover.Add(c.leaderLease())))
		c.machines[id] = m
		i, _ := slices.BinarySearchFunc(c.sorted, id, func(m *cluster.Machine, id string) int { return strings.Compare(m.ID, id) })
		c.sorted = slices.Insert(c.sorted, i, m)
		c.changed = true
	}
	return m
}

// forget drops a machine that was given back.
func (c *Controller) forget(m *cluster.Machine) {
	delete(c.machines, m.ID)
	delete(c.touched, m)
	// Should a late report of it come when it is long forgotten, it must show a
	// token that it cannot have seen, so that nothing is placed on it.
	c.floor = max(c.floor, m.IssuedToken+1)
	c.sorted = slices.DeleteFunc(c.sorted, func(o *cluster.Machine) bool { return o == m })
	c.changed = true
}

func (c *Controller) onReport(r *protocol.Heartbeat, now time.Time) *protocol.HeartbeatReply {
	if r.Token>>tuning.TermShift > c.term.Term {
		c.Log.Info("a worker has seen a newer term", "machine", r.Machine)
		c.OnTerm(r.Token >> tuning.TermShift)
		return nil
	}
	if now.Sub(c.authority()) > c.leaderLease() {
		return nil
	}
	if _, ok := c.gone[r.Machine]; ok {
		return &protocol.HeartbeatReply{Token: c.token(), Commands: []protocol.Command{}}
	}
	m := c.machine(r.Machine, now)
	if !m.AcceptHeartbeat(r) && !m.DetectRestart(r) {
		// A late copy: nobody takes its answer, so it renews no lease, and what
		// it says is as old as it is. Or a worker that began anew, which shows
		// by the token in this answer that it is there.
		return &protocol.HeartbeatReply{Token: m.IssuedToken, Commands: []protocol.Command{}}
	}
	m.LastHeartbeat = now
	c.observe(m, r, now)
	if until := c.leaseFrom(now); m.AcknowledgedToken >= c.token() || until.After(m.LeaseExpiry) {
		m.LeaseExpiry = until
	}
	m.RecordAnswer()
	return &protocol.HeartbeatReply{Token: m.IssuedToken, Commands: c.orders(m)}
}

// observe takes in a report from /hello or from a direct command's answer.
func (c *Controller) observe(m *cluster.Machine, r *protocol.Heartbeat, now time.Time) {
	wasUp, unknown := m.Up, m.UnknownTaskCount
	ended, fresh := m.ApplyStatus(r, parseTask, now, c.leaseFrom(now))
	if !fresh {
		return
	}
	if usable := m.Schedulable(now, c.silence()); usable != m.WasSchedulable {
		m.WasSchedulable, c.changed = usable, true
	}
	if !wasUp {
		m.IdleSince, m.GPUIdleSince = now, now
		c.takeHint(m)
		c.Log.Info("machine up", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot)
	}
	c.end(ended, now)
	if m.UnknownTaskCount > unknown {
		c.logUnknown(m)
	}
	if c.Log.Enabled(c.ctx, slog.LevelDebug) {
		for k, p := range m.Placements {
			if j := c.jobs[k.Job]; j != nil && p.State == protocol.TaskRunning && p.Since.Equal(now) {
				c.Log.Debug("task running", "task", taskName(k), "class", j.desc.Class, "machine", m.ID, "age", now.Sub(j.at))
			}
		}
	}
}

// orders are what a machine is to stop and to forget. Both may be repeated.
func (c *Controller) orders(m *cluster.Machine) []protocol.Command {
	out := []protocol.Command{}
	for i := range m.ReportedTasks {
		t := &m.ReportedTasks[i]
		k, ok := t.Key, t.Parsed
		p := m.Placements[k]
		j := c.jobs[k.Job]
		switch {
		case t.State == protocol.TaskExited:
			// To forget it earlier could make the worker run it again: a start
			// still under way, or a completion that is not recorded yet.
			if m.MayRelease(k, t.Attempt) && !(j != nil && j.pendingDone[k.Task]) && (p == nil || p.Attempt != t.Attempt) {
				out = append(out, protocol.Command{Verb: protocol.VerbRelease, Task: t.Task, Attempt: t.Attempt})
			}
		case !ok || p == nil || p.Attempt != t.Attempt:
			if m.AcknowledgedToken >= c.token() {
				out = append(out, protocol.Command{Verb: protocol.VerbStop, Task: t.Task, Attempt: t.Attempt})
			}
		case p.Stopping && (t.State != protocol.TaskSaving || p.GracePeriodS == 0):
			out = append(out, protocol.Command{Verb: protocol.VerbStop, Task: t.Task, Attempt: t.Attempt, GracePeriodS: p.GracePeriodS})
		}
	}
	return out
}

// end draws the conclusions from placements that are over.
func (c *Controller) end(ended []cluster.EndedPlacement, now time.Time) {
	for _, e := range ended {
		c.changed = true
		p := e.Placement
		p.Machine.RemovePlacement(p, now)
		j := c.jobs[p.Job]
		if j != nil && j.desc.GPUs > 0 {
			p.Machine.GPUIdleSince = now
		}
		if j == nil || j.live[p.Task] != p {
			continue
		}
		delete(j.live, p.Task)
		if e.ExitReason == protocol.ExitDone {
			c.completeTask(j, p, now)
		} else {
			c.retryTask(j, &e, now)
		}
	}
}

// completeTask notes that a task is done. The worker may forget it once that is recorded.
func (c *Controller) completeTask(j *job, p *cluster.Placement, now time.Time) {
	if p.State == protocol.TaskRunning {
		c.est.done(&j.desc, now.Sub(p.Since).Seconds())
	}
	j.done.Add(p.Task)
	j.nDone++
	j.pendingDone[p.Task] = true
	j.errors = 0
	c.markDirty(j, p.Task, false, now)
}

// retryTask lets a task that has ended without being done start again.
func (c *Controller) retryTask(j *job, e *cluster.EndedPlacement, now time.Time) {
	p := e.Placement
	j.giveBack(p.Task)
	if p.Recorded {
		// The next leader would leave it its time to end all over again.
		c.markDirty(j, p.Task, false, now)
	}
	if e.ExitReason != protocol.ExitStopped && !j.cancelled {
		c.Log.Info("task ended", "task", taskName(p.TaskKey), "try", p.Attempt, "machine", p.Machine.ID, "cause", e.ExitReason)
	}
	switch e.ExitReason {
	case protocol.ExitError:
		j.errors++
		pause := tuning.ErrorBackoff << min(j.errors-1, 10)
		j.rest(now.Add(min(pause, tuning.ErrorBackoffMax)))
		p.Machine.RecordTaskFailure(j.ref)
	case protocol.ExitNoCapacity, protocol.ExitDuplicate:
		p.Machine.BackoffUntil = now.Add(tuning.MachineBackoff)
	case protocol.ExitUnknownTask:
		j.rest(now.Add(tuning.MachineBackoff))
	}
	if !j.gang() {
		return
	}
	for _, other := range j.live { // the gang has lost a member: the rest cannot go on
		c.stop(other, 0, now)
	}
}
