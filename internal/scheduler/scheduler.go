// Package scheduler decides which tasks run where, which are preempted, and which
// machines are added and returned. It follows DRPA (dynamic resource provisioning
// algorithm); docs/design.md says which parts of DRPA were kept and which were changed.
//
// Decide is a pure function from a snapshot to a plan. It reads no clock, does no I/O,
// draws no random numbers and does not change the snapshot, so the same snapshot always
// gives the same plan and every decision can be replayed in a test.
//
// For every snapshot, the plan exceeds neither a team's quota nor a machine's capacity,
// places no task outside the zones, machine types and purchase options that its job
// allows, never starts only a part of a gang, preempts only tasks of a lower priority
// than the job that gets their capacity, and returns only machines that are empty.
package scheduler

import "slices"

// planner makes one plan. Each field holds one kind of state, which changes as the plan
// grows: a job that is scheduled later sees what earlier jobs have taken.
type planner struct {
	snapshot         *Snapshot
	pool             *machinePool
	gpuMachinePolicy gpuMachinePolicy
	quotas           quotas
	workQueue        *workQueue
	gpuReleaseTimes  *gpuReleaseTimes
	exhausted        exhaustedKinds
	scaleOuts        scaleOutRequests
	// orderPosition holds the position of each job in the scheduling order. Tasks of a
	// job are never preempted for a job that is scheduled later.
	orderPosition []int
	// reservedMachines lists the machines that are kept free for starved gangs, by index
	// in the pool.
	reservedMachines []int
	plan             Plan
}

func newPlanner(snapshot *Snapshot) *planner {
	return &planner{
		snapshot:         snapshot,
		pool:             newMachinePool(snapshot),
		gpuMachinePolicy: newGPUMachinePolicy(snapshot),
		quotas:           slices.Clone(snapshot.Teams),
		workQueue:        newWorkQueue(snapshot),
		gpuReleaseTimes:  &gpuReleaseTimes{snapshot: snapshot},
		exhausted:        exhaustedKinds{},
		scaleOuts:        newScaleOutRequests(),
		orderPosition:    make([]int, len(snapshot.Jobs)),
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
	p.plan.ScaleOuts = p.scaleOuts.withProductionHeadroom()
	if snapshot.MayScaleIn {
		p.scaleIn()
	}
	return p.plan
}

// scheduleJob finds machines for the waiting tasks of a job, in the order of Algorithm 1
// of DRPA: first machines that are up, then preemption and booting machines. Machines are
// added only once the job's slack (W_k of DRPA, see slackS) is spent.
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
	// The slack is computed for every job that finds too few machines, even if the result
	// is not needed: slackS also adds the job's work to the queue that delays the later
	// jobs.
	bootS := bootTimeS(p.snapshot, job.Job)
	slackS := p.slackS(job.Job, tasks, bootS)
	if job.mayPreempt() {
		tasks -= p.preempt(job, tasks, targetReady)
	}
	tasksWithoutMachine := tasks
	zone, tasks := p.reserveFutureCapacity(job, tasks)
	if slackS > 0 || tasks == 0 {
		return
	}
	p.plan.JobsWithoutSlack = append(p.plan.JobsWithoutSlack, jobIndex)
	if p.snapshot.MayScaleOut && p.shouldScaleOut(job.Job, tasksWithoutMachine, zone, bootS) {
		p.scaleOut(job, tasks, zone)
	}
}

// tasksWithinQuota returns how many of a job's waiting tasks its team's quota allows. If
// the quota does not allow all tasks of a gang, the result is 0, since a gang starts as a
// whole.
func (p *planner) tasksWithinQuota(job *Job) int {
	tasks := min(job.Waiting, p.quotas.tasksWithin(job.Team, job.Request))
	if job.isGang() && tasks < job.Waiting {
		return 0
	}
	return tasks
}

// useReadyMachines starts tasks of a job on machines that are up, and returns how many
// tasks have a machine now or, for a production service, will have one after preemption.
func (p *planner) useReadyMachines(job *pendingJob, tasks int) int {
	found := 0
	if job.isProductionService() {
		found = p.useCachedImages(job, tasks)
	}
	return found + p.startTasks(job, tasks-found, targetReady)
}

// useCachedImages starts tasks on machines that have the job's image, and preempts other
// tasks there if necessary: fetching the image takes longer than a player-facing service
// may take to start. The result is the number of tasks that have a machine now or will
// have one once the preempted tasks have ended.
func (p *planner) useCachedImages(job *pendingJob, tasks int) int {
	started := p.startTasks(job, tasks, targetCached)
	return started + p.preempt(job, tasks-started, targetCached)
}

// startTasks places tasks on machines that are up and charges them to the team's quota.
func (p *planner) startTasks(job *pendingJob, tasks int, target placementTarget) int {
	started := p.place(job, tasks, target)
	p.quotas.charge(job.Team, job.Request, started)
	return started
}

// reserveFutureCapacity counts tasks against machines that are booting, and those of a
// gang also against free capacity in the gang's zone. It returns the zone in which the
// remaining tasks must be placed, and their number.
func (p *planner) reserveFutureCapacity(job *pendingJob, tasks int) (zoneConstraint, int) {
	if job.isGang() {
		return p.reserveForGang(job, tasks)
	}
	return anyZone, tasks - p.place(job, tasks, targetBooting)
}
