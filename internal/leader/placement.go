package leader

import (
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// startPlacement places a task on a machine. The start is sent once the placement is
// recorded.
func (l *Leader) startPlacement(job *jobState, machine *cluster.Machine, now time.Time) {
	task := job.takeTask()
	placement := &cluster.Placement{
		TaskKey:     cluster.TaskKey{Job: job.id, Task: task},
		Attempt:     job.nextAttempt,
		Incarnation: machine.Incarnation,
		Machine:     machine,
		Since:       now,
	}
	if !job.isGang() {
		job.nextAttempt++
	}
	job.placements[task] = placement
	machine.Placements[placement.TaskKey] = placement
	l.markDirty(job, task, true, now)
}

// stopPlacement orders a task to stop, with a grace period to save a checkpoint.
func (l *Leader) stopPlacement(placement *cluster.Placement, gracePeriodS float64, now time.Time) {
	if placement.Stopping && placement.GracePeriodS <= gracePeriodS {
		return
	}
	if !placement.Recorded {
		l.withdrawPlacement(placement, now) // its start was never sent
		return
	}
	placement.Stopping, placement.GracePeriodS, placement.StopOrderedAt = true, gracePeriodS, now
	l.dispatcher.add(placement.Machine)
	l.cycle.request()
}

// withdrawPlacement removes a placement whose start was never sent. Its task waits to be
// started again.
func (l *Leader) withdrawPlacement(placement *cluster.Placement, now time.Time) {
	l.cycle.request()
	placement.Machine.RemovePlacement(placement, now)
	job := l.jobs.open[placement.Job]
	if job == nil || job.placements[placement.Task] != placement {
		return
	}
	delete(job.placements, placement.Task)
	job.requeueTask(placement.Task)
	if placement.Recorded {
		l.markDirty(job, placement.Task, false, now)
	}
}

// cancelJob cancels a job: its tasks are stopped without a grace period, and the jobs
// that depend on it are cancelled too.
func (l *Leader) cancelJob(job *jobState, now time.Time) {
	l.Log.Info("job cancelled, its tasks are stopped", "job", job.id, "tasks", len(job.placements))
	job.cancelled = true
	l.cycle.request()
	for _, placement := range job.placements {
		l.stopPlacement(placement, 0, now)
	}
	l.cancelDependents(job.id)
}

// endPlacements removes placements that have ended, and completes or requeues their
// tasks. Each end is proven (see package cluster), so the task may be started again.
func (l *Leader) endPlacements(endings []cluster.EndedPlacement, now time.Time) {
	for i := range endings {
		ended := &endings[i]
		l.cycle.request()
		placement := ended.Placement
		placement.Machine.RemovePlacement(placement, now)
		job := l.jobs.open[placement.Job]
		if job != nil && job.spec.GPUs > 0 {
			placement.Machine.GPUIdleSince = now
		}
		if job == nil || job.placements[placement.Task] != placement {
			continue
		}
		delete(job.placements, placement.Task)
		if ended.ExitReason == protocol.ExitDone {
			l.completeTask(job, placement, now)
		} else {
			l.retryTask(job, ended, now)
		}
	}
}

// completeTask marks a task as done. The agent may forget the attempt once the completion
// is recorded.
func (l *Leader) completeTask(job *jobState, placement *cluster.Placement, now time.Time) {
	if placement.State == protocol.TaskRunning {
		l.estimator.observe(&job.spec, now.Sub(placement.Since).Seconds())
	}
	job.doneTasks.Add(placement.Task)
	job.doneCount++
	job.unrecordedDone[placement.Task] = true
	job.failures = 0
	l.markDirty(job, placement.Task, false, now)
}

// retryTask requeues a task that ended without completing. The other tasks of its gang
// are stopped.
func (l *Leader) retryTask(job *jobState, ended *cluster.EndedPlacement, now time.Time) {
	placement := ended.Placement
	job.requeueTask(placement.Task)
	if placement.Recorded {
		// As long as the placement is recorded, a new leader would wait again for
		// proof of its end.
		l.markDirty(job, placement.Task, false, now)
	}
	if ended.ExitReason != protocol.ExitStopped && !job.cancelled {
		l.Log.Info("task ended without completing, it is queued to start again", "task", taskName(placement.TaskKey),
			"attempt", placement.Attempt, "machine", placement.Machine.ID, "reason", ended.ExitReason)
	}
	l.backOffByExitReason(job, ended, now)
	if !job.isGang() {
		return
	}
	for _, member := range job.placements { // a gang makes no progress without all of its tasks
		l.stopPlacement(member, 0, now)
	}
}

// backOffByExitReason delays further starts of a job, or on a machine, if the exit reason of
// an ended task shows a failure of either.
func (l *Leader) backOffByExitReason(job *jobState, ended *cluster.EndedPlacement, now time.Time) {
	machine := ended.Placement.Machine
	switch ended.ExitReason {
	case protocol.ExitError:
		const maxDoublings = 10
		job.failures++
		delay := tuning.ErrorBackoff << min(job.failures-1, maxDoublings)
		job.backOff(now.Add(min(delay, tuning.ErrorBackoffMax)))
		machine.RecordTaskFailure(job.id)
	case protocol.ExitNoCapacity, protocol.ExitDuplicate:
		machine.BackoffUntil = now.Add(tuning.MachineBackoff)
	case protocol.ExitUnknownTask:
		job.backOff(now.Add(tuning.MachineBackoff))
	}
}
