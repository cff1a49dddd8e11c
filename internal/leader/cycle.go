package leader

import (
	"cmp"
	"slices"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/scheduler"
	"marblehaven/internal/tuning"
)

// schedulingCycle knows when the next scheduling cycle is due.
type schedulingCycle struct {
	needed       bool // something that decisions depend on has changed
	lastEnd      time.Time
	lastDuration time.Duration
	// runningLen is how many entries the machines of the last snapshot had, for the
	// next one's size.
	runningLen int
}

// request asks for a cycle.
func (c *schedulingCycle) request() { c.needed = true }

// finish notes how long a cycle took.
func (c *schedulingCycle) finish(start, end time.Time) {
	c.lastEnd = end
	c.lastDuration = end.Sub(start)
}

// interval is the least time between two cycles. It grows with what a cycle takes, so
// that decisions never starve the answers to agents.
func (c *schedulingCycle) interval() time.Duration {
	return min(max(tuning.CycleInterval, tuning.CyclePauseFactor*c.lastDuration), tuning.CycleIntervalMax)
}

// untilNext is the time to the next cycle.
func (c *schedulingCycle) untilNext() time.Duration { return c.interval() - time.Since(c.lastEnd) }

// runCycle decides, writes and sends.
func (l *Leader) runCycle(now time.Time) {
	if l.catalog.loaded && l.lease.mayStart(now) {
		l.schedule(now)
	}
	l.cycle.needed = false
	l.commit(now)
	l.dispatchAll(now)
	l.callProvisioning(now)
}

// schedule makes a plan from all that is known and carries it out.
func (l *Leader) schedule(now time.Time) {
	snapshot, jobs, machines := l.snapshot(now)
	plan := scheduler.Decide(snapshot)
	for _, start := range plan.Starts {
		l.placeTasks(jobs[start.Job], machines[start.Machine], start.Count, now)
	}
	for i, job := range jobs {
		// All tasks of a gang share an attempt number; its next start gets the next.
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

// placeTasks places tasks of a job on a machine. They are started once that is
// recorded.
func (l *Leader) placeTasks(job *jobState, machine *cluster.Machine, count int, now time.Time) {
	for range count {
		l.startPlacement(job, machine, now)
	}
	if i, ok := l.catalog.index[machine.Type]; ok {
		machine.RecordImageUse(job.spec.Image, job.spec.ImageGB, l.catalog.types[i].CacheGB)
	}
	l.Log.Debug("placing tasks", "job", job.id, "machine", machine.ID, "count", count)
}

// preemptTasks stops tasks of a job on a machine for other work, the last started
// first: the least work is lost. There is no grace period, since the other work does
// not wait for a save: no more is lost than the time since the last checkpoint.
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

// scaleOut requests the machines of a plan, with one request at a time for a capacity
// pool: what is asked for meanwhile goes into the next together. A request for each
// small need would queue at the cloud for half a minute and take the writes from the
// starts.
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
