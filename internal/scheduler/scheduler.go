// Package scheduler decides which tasks run where, which are preempted, and which
// machines are added and returned, after DRPA (dynamic resource provisioning
// algorithm; docs/design.md says what of it was kept and what was changed).
//
// It is pure: a snapshot goes in and a plan comes out. It reads no clock, does no I/O,
// draws no random numbers and leaves the snapshot as it is, so that the same snapshot
// gives the same plan and every decision can be replayed in a test.
//
// Whatever the snapshot, a plan never exceeds a team's quota or a machine's capacity,
// never places a task outside the zones, machine types and purchase options that its
// job allows, never starts a part of a gang, only preempts tasks of a lower priority
// than the job they make way for, and only returns machines that are empty.
package scheduler

import "slices"

// planner makes one plan. Each of its parts owns one kind of state, which changes as
// the plan grows: a job that is scheduled later sees what those before it have taken.
type planner struct {
	snapshot    *Snapshot
	pool        *machinePool
	gpuPolicy   gpuMachinePolicy
	quotas      quotas
	queue       *workQueue
	gpuReleases *gpuReleases
	exhausted   exhaustedKinds
	scaleOuts   scaleOutRequests
	// orderPosition is the position of each job in the scheduling order. Tasks of jobs
	// before a job are never preempted for it.
	orderPosition []int
	// reservedMachines are kept free for starved gangs, by index in the pool.
	reservedMachines []int
	plan             Plan
}

func newPlanner(snapshot *Snapshot) *planner {
	return &planner{
		snapshot:      snapshot,
		pool:          newMachinePool(snapshot),
		gpuPolicy:     newGPUMachinePolicy(snapshot),
		quotas:        slices.Clone(snapshot.Teams),
		queue:         newWorkQueue(snapshot),
		gpuReleases:   &gpuReleases{snapshot: snapshot},
		exhausted:     exhaustedKinds{},
		scaleOuts:     newScaleOutRequests(),
		orderPosition: make([]int, len(snapshot.Jobs)),
	}
}

// Decide makes the plan for a snapshot.
func Decide(snapshot *Snapshot) Plan {
	p := newPlanner(snapshot)
	order := Order(snapshot)
	for position, jobIndex := range order {
		p.orderPosition[jobIndex] = position
	}
	for _, jobIndex := range order {
		p.scheduleJob(jobIndex)
	}
	p.plan.ScaleOuts = p.scaleOuts.withHeadroom()
	if snapshot.MayScaleIn {
		p.scaleIn()
	}
	return p.plan
}

// scheduleJob finds machines for the waiting tasks of a job, in the order of Algorithm
// 1 of DRPA: first what is up, then what can be preempted or is booting, and machines
// to add only once the job's slack W_k is spent.
func (p *planner) scheduleJob(jobIndex int) {
	if !p.snapshot.Jobs[jobIndex].hasStartableTasks() {
		return
	}
	tasks := p.tasksWithinQuota(&p.snapshot.Jobs[jobIndex])
	if tasks == 0 {
		return
	}
	job := newPendingJob(p.snapshot, jobIndex)
	if tasks -= p.useReadyMachines(job, tasks); tasks == 0 {
		return
	}
	// The slack is computed for every job that finds too few machines, also where it
	// is not needed: the job's work joins the queue that delays the jobs after it.
	bootS := bootTimeS(p.snapshot, job.Job)
	slackS := p.slackS(job.Job, tasks, bootS)
	if job.mayPreempt() {
		tasks -= p.preempt(job, tasks, targetReady)
	}
	withoutMachine := tasks
	zone, tasks := p.reserveFutureCapacity(job, tasks)
	if slackS > 0 || tasks == 0 {
		return
	}
	p.plan.SlackSpent = append(p.plan.SlackSpent, jobIndex)
	if p.snapshot.MayScaleOut && p.scaleOutHelps(job.Job, withoutMachine, zone, bootS) {
		p.scaleOut(job, tasks, zone)
	}
}

// tasksWithinQuota is how many of a job's waiting tasks its team's quota allows; none
// of a gang unless it allows all, since a gang starts whole.
func (p *planner) tasksWithinQuota(job *Job) int {
	tasks := min(job.Waiting, p.quotas.tasksWithin(job.Team, job.Request))
	if job.isGang() && tasks < job.Waiting {
		return 0
	}
	return tasks
}

// useReadyMachines starts tasks of a job on machines that are up, and returns how many
// of them need no further machine.
func (p *planner) useReadyMachines(job *pendingJob, tasks int) int {
	found := 0
	if job.isProductionService() {
		found = p.useCachedImages(job, tasks)
	}
	return found + p.startTasks(job, tasks-found, targetReady)
}

// useCachedImages starts tasks where the job's image is already, preempting others
// there if necessary: fetching the image takes longer than a player-facing service may
// take to start. It returns how many tasks have a machine now or will have one once
// the preempted tasks are gone.
func (p *planner) useCachedImages(job *pendingJob, tasks int) int {
	started := p.startTasks(job, tasks, targetCached)
	return started + p.preempt(job, tasks-started, targetCached)
}

// startTasks places tasks on machines that are up and charges the team's quota.
func (p *planner) startTasks(job *pendingJob, tasks int, target placementTarget) int {
	started := p.place(job, tasks, target)
	p.quotas.charge(job.Team, job.Request, started)
	return started
}

// reserveFutureCapacity counts tasks against machines that are booting, and a gang also against
// those that fall free where it gathers. It returns the zone in which the rest must
// be and how many tasks the rest is.
func (p *planner) reserveFutureCapacity(job *pendingJob, tasks int) (zoneConstraint, int) {
	if job.isGang() {
		return p.reserveForGang(job, tasks)
	}
	return anyZone, tasks - p.place(job, tasks, targetBooting)
}
