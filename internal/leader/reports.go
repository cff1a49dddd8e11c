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

// machineByID finds a machine or makes one that is known by name only.
func (c *Leader) machineByID(id string, now time.Time) *cluster.Machine {
	m := c.machines[id]
	if m == nil {
		// An earlier leader may go on answering it for X, and then its lease
		// runs: only after that its recorded tasks count as gone.
		m = cluster.NewMachine(id, c.firstToken, now, c.agentLeaseExpiry(c.tookOverAt.Add(c.leaseDuration())))
		c.machines[id] = m
		i, _ := slices.BinarySearchFunc(c.sorted, id, func(m *cluster.Machine, id string) int { return strings.Compare(m.ID, id) })
		c.sorted = slices.Insert(c.sorted, i, m)
		c.changed = true
	}
	return m
}

// forgetMachine drops a machine that was given back.
func (c *Leader) forgetMachine(m *cluster.Machine) {
	delete(c.machines, m.ID)
	delete(c.pendingDispatch, m)
	// Should a late report of it come when it is long forgotten, it must show a
	// token that it cannot have seen, so that nothing is placed on it.
	c.firstToken = max(c.firstToken, m.IssuedToken+1)
	c.sorted = slices.DeleteFunc(c.sorted, func(o *cluster.Machine) bool { return o == m })
	c.changed = true
}

func (c *Leader) onHeartbeat(r *protocol.Heartbeat, now time.Time) *protocol.HeartbeatReply {
	if r.Token>>tuning.TermShift > c.leadership.Term {
		c.Log.Info("a worker has seen a newer term", "machine", r.Machine)
		c.OnNewerTerm(r.Token >> tuning.TermShift)
		return nil
	}
	if now.Sub(c.lastProof()) > c.leaseDuration() {
		return nil
	}
	if _, ok := c.removedMachines[r.Machine]; ok {
		return &protocol.HeartbeatReply{Token: c.termToken(), Commands: []protocol.Command{}}
	}
	m := c.machineByID(r.Machine, now)
	if !m.AcceptHeartbeat(r) && !m.DetectRestart(r) {
		// A late copy: nobody takes its answer, so it renews no lease, and what
		// it says is as old as it is. Or a worker that began anew, which shows
		// by the token in this answer that it is there.
		return &protocol.HeartbeatReply{Token: m.IssuedToken, Commands: []protocol.Command{}}
	}
	m.LastHeartbeat = now
	c.applyStatus(m, r, now)
	if until := c.agentLeaseExpiry(now); m.AcknowledgedToken >= c.termToken() || until.After(m.LeaseExpiry) {
		m.LeaseExpiry = until
	}
	m.RecordAnswer()
	return &protocol.HeartbeatReply{Token: m.IssuedToken, Commands: c.reconcileCommands(m)}
}

// applyStatus takes in a report from /hello or from a direct command's answer.
func (c *Leader) applyStatus(m *cluster.Machine, r *protocol.Heartbeat, now time.Time) {
	wasUp, unknown := m.Up, m.UnknownTaskCount
	ended, fresh := m.ApplyStatus(r, parseTask, now, c.agentLeaseExpiry(now))
	if !fresh {
		return
	}
	if usable := m.Schedulable(now, c.schedulableSilence()); usable != m.WasSchedulable {
		m.WasSchedulable, c.changed = usable, true
	}
	if !wasUp {
		m.IdleSince, m.GPUIdleSince = now, now
		c.adoptImageInventory(m)
		c.Log.Info("machine up", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot)
	}
	c.endPlacements(ended, now)
	if m.UnknownTaskCount > unknown {
		c.logUnknown(m)
	}
	if c.Log.Enabled(c.ctx, slog.LevelDebug) {
		for k, p := range m.Placements {
			if j := c.jobs[k.Job]; j != nil && p.State == protocol.TaskRunning && p.Since.Equal(now) {
				c.Log.Debug("task running", "task", taskName(k), "class", j.spec.Class, "machine", m.ID, "age", now.Sub(j.acceptedAt))
			}
		}
	}
}

// reconcileCommands are what a machine is to stop and to forget. Both may be repeated.
func (c *Leader) reconcileCommands(m *cluster.Machine) []protocol.Command {
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
			if m.MayRelease(k, t.Attempt) && !(j != nil && j.unrecordedDone[k.Task]) && (p == nil || p.Attempt != t.Attempt) {
				out = append(out, protocol.Command{Verb: protocol.VerbRelease, Task: t.Task, Attempt: t.Attempt})
			}
		case !ok || p == nil || p.Attempt != t.Attempt:
			if m.AcknowledgedToken >= c.termToken() {
				out = append(out, protocol.Command{Verb: protocol.VerbStop, Task: t.Task, Attempt: t.Attempt})
			}
		case p.Stopping && (t.State != protocol.TaskSaving || p.GracePeriodS == 0):
			out = append(out, protocol.Command{Verb: protocol.VerbStop, Task: t.Task, Attempt: t.Attempt, GracePeriodS: p.GracePeriodS})
		}
	}
	return out
}

// endPlacements draws the conclusions from placements that are over.
func (c *Leader) endPlacements(ended []cluster.EndedPlacement, now time.Time) {
	for _, e := range ended {
		c.changed = true
		p := e.Placement
		p.Machine.RemovePlacement(p, now)
		j := c.jobs[p.Job]
		if j != nil && j.spec.GPUs > 0 {
			p.Machine.GPUIdleSince = now
		}
		if j == nil || j.placements[p.Task] != p {
			continue
		}
		delete(j.placements, p.Task)
		if e.ExitReason == protocol.ExitDone {
			c.completeTask(j, p, now)
		} else {
			c.retryTask(j, &e, now)
		}
	}
}

// completeTask notes that a task is done. The worker may forget it once that is recorded.
func (c *Leader) completeTask(j *jobState, p *cluster.Placement, now time.Time) {
	if p.State == protocol.TaskRunning {
		c.estimator.observe(&j.spec, now.Sub(p.Since).Seconds())
	}
	j.doneTasks.Add(p.Task)
	j.doneCount++
	j.unrecordedDone[p.Task] = true
	j.failures = 0
	c.markDirty(j, p.Task, false, now)
}

// retryTask lets a task that has ended without being done start again.
func (c *Leader) retryTask(j *jobState, e *cluster.EndedPlacement, now time.Time) {
	p := e.Placement
	j.requeueTask(p.Task)
	if p.Recorded {
		// The next leader would leave it its time to end all over again.
		c.markDirty(j, p.Task, false, now)
	}
	if e.ExitReason != protocol.ExitStopped && !j.cancelled {
		c.Log.Info("task ended", "task", taskName(p.TaskKey), "try", p.Attempt, "machine", p.Machine.ID, "cause", e.ExitReason)
	}
	switch e.ExitReason {
	case protocol.ExitError:
		j.failures++
		pause := tuning.ErrorBackoff << min(j.failures-1, 10)
		j.backOff(now.Add(min(pause, tuning.ErrorBackoffMax)))
		p.Machine.RecordTaskFailure(j.id)
	case protocol.ExitNoCapacity, protocol.ExitDuplicate:
		p.Machine.BackoffUntil = now.Add(tuning.MachineBackoff)
	case protocol.ExitUnknownTask:
		j.backOff(now.Add(tuning.MachineBackoff))
	}
	if !j.isGang() {
		return
	}
	for _, other := range j.placements { // the gang has lost a member: the rest cannot go on
		c.stopPlacement(other, 0, now)
	}
}
