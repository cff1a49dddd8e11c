package leader

import (
	"context"
	"log/slog"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
)

// heartbeatRequest asks the leader's actor to answer a heartbeat. The actor sends nil on
// reply if the leader may not answer.
type heartbeatRequest struct {
	heartbeat *protocol.Heartbeat
	reply     chan *protocol.HeartbeatReply
}

// Heartbeat returns the reply to an agent's heartbeat. The error is ErrMayNotAnswer or the
// error of ctx.
func (l *Leader) Heartbeat(ctx context.Context, heartbeat *protocol.Heartbeat) (*protocol.HeartbeatReply, error) {
	reply := make(chan *protocol.HeartbeatReply, 1)
	select {
	case l.inbox <- heartbeatRequest{heartbeat, reply}:
	default:
		return nil, ErrMayNotAnswer // the inbox is full; the agent retries
	}
	select {
	case answer := <-reply:
		if answer == nil {
			return nil, ErrMayNotAnswer
		}
		return answer, nil
	case <-l.ctx.Done():
		return nil, ErrMayNotAnswer
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (r heartbeatRequest) apply(leader *Leader, now time.Time) {
	r.reply <- leader.onHeartbeat(r.heartbeat, now)
}

// onHeartbeat applies a heartbeat and returns the reply, or nil if the leader may not answer.
func (l *Leader) onHeartbeat(heartbeat *protocol.Heartbeat, now time.Time) *protocol.HeartbeatReply {
	if newerTerm := heartbeat.Token.Term(); newerTerm > l.leadership.Term {
		l.Log.Info("heartbeat carries the token of a newer term, giving up the term", "machine", heartbeat.Machine, "term", newerTerm)
		l.OnNewerTerm(newerTerm)
		return nil
	}
	if !l.lease.mayAnswer(now) {
		return nil
	}
	if l.machines.wasRemoved(heartbeat.Machine) {
		return &protocol.HeartbeatReply{Token: l.termToken(), Commands: []protocol.Command{}}
	}
	machine := l.ensureMachine(heartbeat.Machine, now)
	isNewest, hasRestarted := machine.AcceptHeartbeat(heartbeat), l.detectRestart(machine, heartbeat)
	if !isNewest && !hasRestarted {
		// The heartbeat is a late copy, or the agent has restarted. A copy is out of
		// date, and nobody receives the reply to it, so the reply renews no lease. A
		// restarted agent proves the restart with the token of this reply in its next
		// heartbeat.
		machine.RecordUnappliedReply(heartbeat.Incarnation, l.agentLeaseExpiry(now))
		return &protocol.HeartbeatReply{Token: machine.IssuedToken, Commands: []protocol.Command{}}
	}
	machine.LastHeartbeat = now
	l.applyStatus(machine, heartbeat, now)
	// Until the agent acknowledges the term's token, an earlier leader may have renewed
	// the lease for longer than this reply does, so the expiry only moves forward.
	if expiry := l.agentLeaseExpiry(now); machine.AcknowledgedToken >= l.termToken() || expiry.After(machine.LeaseExpiry) {
		machine.LeaseExpiry = expiry
	}
	machine.RecordHeartbeatReply()
	return &protocol.HeartbeatReply{Token: machine.IssuedToken, Commands: l.reconcileCommands(machine)}
}

// detectRestart reports whether an agent's status proves that the agent has restarted. The
// images that an earlier leader has recorded for the machine may be gone then.
func (l *Leader) detectRestart(machine *cluster.Machine, status *protocol.Heartbeat) bool {
	before := machine.LatestIncarnation()
	if !machine.DetectRestart(status) {
		return false
	}
	delete(l.images.inherited, machine.ID)
	l.Log.Info("agent has restarted, its tasks from before have ended", "machine", machine.ID,
		"incarnation", status.Incarnation, "before", before, "tasks", len(machine.Placements))
	return true
}

// applyStatus applies an agent's status, from a heartbeat or from the answer to a direct
// command, and acts on what has changed.
func (l *Leader) applyStatus(machine *cluster.Machine, status *protocol.Heartbeat, now time.Time) {
	wasUp, unknownBefore := machine.Up, machine.UnknownTaskCount
	ended, fresh := machine.ApplyStatus(status, parseTaskName, now, l.agentLeaseExpiry(now))
	if !fresh {
		return
	}
	if schedulable := machine.Schedulable(now, l.maxSchedulableSilence()); schedulable != machine.WasSchedulable {
		machine.WasSchedulable = schedulable
		l.cycle.request()
	}
	if !wasUp {
		l.onMachineUp(machine, now)
	}
	l.endPlacements(ended, now)
	if machine.UnknownTaskCount > unknownBefore {
		l.logUnknownTasks(machine)
	}
	if l.Log.Enabled(l.ctx, slog.LevelDebug) {
		l.logStartedTasks(machine, now)
	}
}

func (l *Leader) onMachineUp(machine *cluster.Machine, now time.Time) {
	machine.IdleSince, machine.GPUIdleSince = now, now
	l.restoreImages(machine)
	l.Log.Info("machine up", "machine", machine.ID, "type", machine.Type, "zone", machine.Zone, "spot", machine.Spot)
}

// logStartedTasks logs the tasks that have just begun to run.
func (l *Leader) logStartedTasks(machine *cluster.Machine, now time.Time) {
	for key, placement := range machine.Placements {
		job := l.jobs.open[key.Job]
		if job != nil && placement.State == protocol.TaskRunning && placement.Since.Equal(now) {
			l.Log.Debug("task running", "task", taskName(key), "class", job.spec.Class, "machine", machine.ID, "age", now.Sub(job.acceptedAt))
		}
	}
}

// reconcileCommands compares the tasks that an agent reports with the placements on its
// machine, and returns the commands that remove the difference: stops, and releases of
// exited attempts that the agent may forget. Both may be repeated.
func (l *Leader) reconcileCommands(machine *cluster.Machine) []protocol.Command {
	commands := []protocol.Command{}
	for i := range machine.ReportedTasks {
		if command, needed := l.reconcileTask(machine, &machine.ReportedTasks[i]); needed {
			commands = append(commands, command)
		}
	}
	return commands
}

func (l *Leader) reconcileTask(machine *cluster.Machine, reported *cluster.ReportedTask) (protocol.Command, bool) {
	command := protocol.Command{Task: reported.Task, Attempt: reported.Attempt}
	placement := machine.Placements[reported.Key]
	isPlaced := placement != nil && placement.Attempt == reported.Attempt
	switch {
	case reported.State == protocol.TaskExited:
		command.Verb = protocol.VerbRelease
		return command, !isPlaced && l.mayRelease(machine, reported)
	case !reported.Parsed || !isPlaced:
		command.Verb = protocol.VerbStop
		return command, machine.AcknowledgedToken >= l.termToken()
	case placement.Stopping && (reported.State != protocol.TaskSaving || placement.GracePeriodS == 0):
		command.Verb = protocol.VerbStop
		command.GracePeriodS = placement.GracePeriodS
		return command, true
	}
	return command, false
}

// mayRelease reports whether an agent may forget an exited attempt. If the agent forgot
// the attempt too early, the task could run again: because a late start of the attempt
// still arrives, or because the completion is not recorded yet.
func (l *Leader) mayRelease(machine *cluster.Machine, reported *cluster.ReportedTask) bool {
	job := l.jobs.open[reported.Key.Job]
	awaitsRecord := job != nil && job.unrecordedDone[reported.Key.Task]
	return !awaitsRecord && machine.MayRelease(reported.Key, reported.Attempt)
}
