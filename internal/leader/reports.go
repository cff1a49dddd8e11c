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
	machine := c.machines.byID[id]
	if machine == nil {
		// An earlier leader may go on answering it for X, and then its lease
		// runs: only after that its recorded tasks count as gone.
		machine = cluster.NewMachine(id, c.machines.firstToken, now, c.agentLeaseExpiry(c.tookOverAt.Add(c.leaseDuration())))
		c.machines.byID[id] = machine
		i, _ := slices.BinarySearchFunc(c.machines.sorted, id, func(machine *cluster.Machine, id string) int { return strings.Compare(machine.ID, id) })
		c.machines.sorted = slices.Insert(c.machines.sorted, i, machine)
		c.cycle.needed = true
	}
	return machine
}

// forgetMachine drops a machine that was given back.
func (c *Leader) forgetMachine(machine *cluster.Machine) {
	delete(c.machines.byID, machine.ID)
	delete(c.dispatcher.pending, machine)
	// Should a late report of it come when it is long forgotten, it must show a
	// token that it cannot have seen, so that nothing is placed on it.
	c.machines.firstToken = max(c.machines.firstToken, machine.IssuedToken+1)
	c.machines.sorted = slices.DeleteFunc(c.machines.sorted, func(o *cluster.Machine) bool { return o == machine })
	c.cycle.needed = true
}

func (c *Leader) onHeartbeat(heartbeat *protocol.Heartbeat, now time.Time) *protocol.HeartbeatReply {
	if heartbeat.Token.Term() > c.leadership.Term {
		c.Log.Info("a worker has seen a newer term", "machine", heartbeat.Machine)
		c.OnNewerTerm(heartbeat.Token.Term())
		return nil
	}
	if now.Sub(c.lastProof()) > c.leaseDuration() {
		return nil
	}
	if _, ok := c.machines.removed[heartbeat.Machine]; ok {
		return &protocol.HeartbeatReply{Token: c.termToken(), Commands: []protocol.Command{}}
	}
	machine := c.machineByID(heartbeat.Machine, now)
	if !machine.AcceptHeartbeat(heartbeat) && !machine.DetectRestart(heartbeat) {
		// A late copy: nobody takes its answer, so it renews no lease, and what
		// it says is as old as it is. Or a worker that began anew, which shows
		// by the token in this answer that it is there.
		return &protocol.HeartbeatReply{Token: machine.IssuedToken, Commands: []protocol.Command{}}
	}
	machine.LastHeartbeat = now
	c.applyStatus(machine, heartbeat, now)
	if until := c.agentLeaseExpiry(now); machine.AcknowledgedToken >= c.termToken() || until.After(machine.LeaseExpiry) {
		machine.LeaseExpiry = until
	}
	machine.RecordAnswer()
	return &protocol.HeartbeatReply{Token: machine.IssuedToken, Commands: c.reconcileCommands(machine)}
}

// applyStatus takes in a report from /hello or from a direct command's answer.
func (c *Leader) applyStatus(machine *cluster.Machine, heartbeat *protocol.Heartbeat, now time.Time) {
	wasUp, unknown := machine.Up, machine.UnknownTaskCount
	ended, fresh := machine.ApplyStatus(heartbeat, parseTask, now, c.agentLeaseExpiry(now))
	if !fresh {
		return
	}
	if usable := machine.Schedulable(now, c.schedulableSilence()); usable != machine.WasSchedulable {
		machine.WasSchedulable, c.cycle.needed = usable, true
	}
	if !wasUp {
		machine.IdleSince, machine.GPUIdleSince = now, now
		c.adoptImageInventory(machine)
		c.Log.Info("machine up", "machine", machine.ID, "type", machine.Type, "zone", machine.Zone, "spot", machine.Spot)
	}
	c.endPlacements(ended, now)
	if machine.UnknownTaskCount > unknown {
		c.logUnknown(machine)
	}
	if c.Log.Enabled(c.ctx, slog.LevelDebug) {
		for k, placement := range machine.Placements {
			if job := c.jobs.open[k.Job]; job != nil && placement.State == protocol.TaskRunning && placement.Since.Equal(now) {
				c.Log.Debug("task running", "task", taskName(k), "class", job.spec.Class, "machine", machine.ID, "age", now.Sub(job.acceptedAt))
			}
		}
	}
}

// reconcileCommands are what a machine is to stop and to forget. Both may be repeated.
func (c *Leader) reconcileCommands(machine *cluster.Machine) []protocol.Command {
	out := []protocol.Command{}
	for i := range machine.ReportedTasks {
		t := &machine.ReportedTasks[i]
		k, ok := t.Key, t.Parsed
		placement := machine.Placements[k]
		job := c.jobs.open[k.Job]
		switch {
		case t.State == protocol.TaskExited:
			// To forget it earlier could make the worker run it again: a start
			// still under way, or a completion that is not recorded yet.
			if machine.MayRelease(k, t.Attempt) && !(job != nil && job.unrecordedDone[k.Task]) && (placement == nil || placement.Attempt != t.Attempt) {
				out = append(out, protocol.Command{Verb: protocol.VerbRelease, Task: t.Task, Attempt: t.Attempt})
			}
		case !ok || placement == nil || placement.Attempt != t.Attempt:
			if machine.AcknowledgedToken >= c.termToken() {
				out = append(out, protocol.Command{Verb: protocol.VerbStop, Task: t.Task, Attempt: t.Attempt})
			}
		case placement.Stopping && (t.State != protocol.TaskSaving || placement.GracePeriodS == 0):
			out = append(out, protocol.Command{Verb: protocol.VerbStop, Task: t.Task, Attempt: t.Attempt, GracePeriodS: placement.GracePeriodS})
		}
	}
	return out
}

// endPlacements draws the conclusions from placements that are over.
func (c *Leader) endPlacements(ended []cluster.EndedPlacement, now time.Time) {
	for _, e := range ended {
		c.cycle.needed = true
		placement := e.Placement
		placement.Machine.RemovePlacement(placement, now)
		job := c.jobs.open[placement.Job]
		if job != nil && job.spec.GPUs > 0 {
			placement.Machine.GPUIdleSince = now
		}
		if job == nil || job.placements[placement.Task] != placement {
			continue
		}
		delete(job.placements, placement.Task)
		if e.ExitReason == protocol.ExitDone {
			c.completeTask(job, placement, now)
		} else {
			c.retryTask(job, &e, now)
		}
	}
}

// completeTask notes that a task is done. The worker may forget it once that is recorded.
func (c *Leader) completeTask(job *jobState, placement *cluster.Placement, now time.Time) {
	if placement.State == protocol.TaskRunning {
		c.estimator.observe(&job.spec, now.Sub(placement.Since).Seconds())
	}
	job.doneTasks.Add(placement.Task)
	job.doneCount++
	job.unrecordedDone[placement.Task] = true
	job.failures = 0
	c.markDirty(job, placement.Task, false, now)
}

// retryTask lets a task that has ended without being done start again.
func (c *Leader) retryTask(job *jobState, e *cluster.EndedPlacement, now time.Time) {
	placement := e.Placement
	job.requeueTask(placement.Task)
	if placement.Recorded {
		// The next leader would leave it its time to end all over again.
		c.markDirty(job, placement.Task, false, now)
	}
	if e.ExitReason != protocol.ExitStopped && !job.cancelled {
		c.Log.Info("task ended", "task", taskName(placement.TaskKey), "try", placement.Attempt, "machine", placement.Machine.ID, "cause", e.ExitReason)
	}
	switch e.ExitReason {
	case protocol.ExitError:
		job.failures++
		pause := tuning.ErrorBackoff << min(job.failures-1, 10)
		job.backOff(now.Add(min(pause, tuning.ErrorBackoffMax)))
		placement.Machine.RecordTaskFailure(job.id)
	case protocol.ExitNoCapacity, protocol.ExitDuplicate:
		placement.Machine.BackoffUntil = now.Add(tuning.MachineBackoff)
	case protocol.ExitUnknownTask:
		job.backOff(now.Add(tuning.MachineBackoff))
	}
	if !job.isGang() {
		return
	}
	for _, other := range job.placements { // the gang has lost a member: the rest cannot go on
		c.stopPlacement(other, 0, now)
	}
}
