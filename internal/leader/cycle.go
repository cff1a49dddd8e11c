package leader

import (
	"cmp"
	"slices"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/scheduler"
	"marblehaven/internal/tuning"
)

// schedulingCycle determines when the next scheduling cycle runs.
type schedulingCycle struct {
	needed       bool // something that decisions depend on has changed
	lastEnd      time.Time
	lastDuration time.Duration
	// runningLen is the length of snapshotBuilder.running in the last cycle, by which
	// the next snapshot allocates its slice.
	runningLen int
}

// request asks for a cycle, which runs once the pause after the last one is over (see
// interval).
func (c *schedulingCycle) request() { c.needed = true }

// finish records when a cycle ended and how long it took.
func (c *schedulingCycle) finish(start, end time.Time) {
	c.lastEnd = end
	c.lastDuration = end.Sub(start)
}

// interval is the shortest pause between two cycles. It grows with the duration of the
// last cycle, so that scheduling leaves processor time for the replies to agents.
func (c *schedulingCycle) interval() time.Duration {
	return min(max(tuning.CycleInterval, tuning.CyclePauseFactor*c.lastDuration), tuning.CycleIntervalMax)
}

// untilNext is the time until the next cycle may start.
func (c *schedulingCycle) untilNext() time.Duration { return c.interval() - time.Since(c.lastEnd) }

// runCycle plans placements, commits the pending records, sends the recorded starts and
// calls the cloud for the recorded provisioning requests.
func (l *Leader) runCycle(now time.Time) {
	if l.catalog.loaded && l.lease.mayStart(now) {
		l.schedule(now)
	}
	l.cycle.needed = false
	l.commit(now)
	l.dispatchAll(now)
	l.callProvisioning(now)
}

// schedule computes a plan from a snapshot of the leader's state and carries it out.
func (l *Leader) schedule(now time.Time) {
	snapshot, jobs, machines := l.snapshot(now)
	plan := scheduler.Decide(snapshot)
	for _, start := range plan.Starts {
		l.placeTasks(jobs[start.Job], machines[start.Machine], start.Count, now)
	}
	for i, job := range jobs {
		// All tasks of a gang share an attempt number. A gang that was started in this
		// cycle has used its number.
		if job.isGang() && snapshot.Jobs[i].Waiting > 0 && len(job.placements) > 0 {
			job.nextAttempt++
		}
	}
	for _, preemption := range plan.Preemptions {
		l.preemptTasks(jobs[preemption.Job], machines[preemption.Machine], preemption.Count, now)
	}
	l.scaleOut(snapshot, plan.ScaleOuts, now)
	var idle []*cluster.Machine
	for _, i := range plan.ScaleIns {
		idle = append(idle, machines[i])
	}
	l.deprovision(idle, "idle", now)
	if l.status.due(now) {
		l.summarize(snapshot, jobs, plan, now)
	}
}

// placeTasks places tasks of a job on a machine. Their starts are sent once the
// placements are recorded.
func (l *Leader) placeTasks(job *jobState, machine *cluster.Machine, count int, now time.Time) {
	for range count {
		l.startPlacement(job, machine, now)
	}
	if i, ok := l.catalog.index[machine.Type]; ok {
		machine.RecordImageUse(job.spec.Image, job.spec.ImageGB, l.catalog.types[i].CacheGB)
	}
	l.Log.Debug("placing tasks", "job", job.id, "machine", machine.ID, "count", count)
}

// preemptTasks stops tasks of a job on a machine to free capacity for other work. The
// tasks that started last are stopped first, since they lose the least work. There is no
// grace period, so the other work need not wait for a checkpoint to be saved: a task
// loses at most the work since its last checkpoint.
func (l *Leader) preemptTasks(job *jobState, machine *cluster.Machine, count int, now time.Time) {
	l.Log.Info("preempting tasks", "job", job.id, "machine", machine.ID, "count", count)
	var running []*cluster.Placement
	for _, placement := range machine.Placements {
		if placement.Job == job.id && !placement.Stopping {
			running = append(running, placement)
		}
	}
	slices.SortFunc(running, func(a, b *cluster.Placement) int {
		return cmp.Or(b.Since.Compare(a.Since), cmp.Compare(a.Task, b.Task))
	})
	for _, placement := range running[:min(count, len(running))] {
		l.stopPlacement(placement, 0, now)
	}
}

// scaleOut requests the machines of a plan, with one unresolved request at a time for
// each capacity pool. Machines that are needed meanwhile go into the pool's next request
// together: a request for each small need would wait in the cloud's queue for half a
// minute, and recording it would take write budget away from the starts.
func (l *Leader) scaleOut(snapshot *scheduler.Snapshot, scaleOuts []scheduler.ScaleOut, now time.Time) {
	requested := map[capacityPool]bool{}
	for _, request := range l.provisioner.requests {
		if !request.resolved {
			requested[request.pool()] = true
		}
	}
	for _, scaleOut := range scaleOuts {
		pool := capacityPool{snapshot.Types[scaleOut.Type].Name, scaleOut.Zone, scaleOut.Spot}
		if requested[pool] || len(requested) >= tuning.PoolsInFlight {
			continue
		}
		requested[pool] = true
		l.requestMachines(pool, scaleOut.Count, now)
	}
}
