package leader

import (
	"cmp"
	"math"
	"slices"

	"marblehaven/internal/scheduler"
)

// addJobs adds the jobs in the order of their acceptance.
func (b *snapshotBuilder) addJobs() {
	for _, job := range b.leader.jobs.open {
		if _, ok := b.teams[job.spec.Team]; ok {
			b.jobs = append(b.jobs, job)
		}
	}
	slices.SortFunc(b.jobs, func(x, y *jobState) int {
		return cmp.Or(x.acceptedAt.Compare(y.acceptedAt), cmp.Compare(x.id, y.id))
	})
	for i, job := range b.jobs {
		b.jobIndex[job.id] = i
	}
	chained := b.chainedJobs()
	demand := make([]scheduler.Resources, len(b.snapshot.Teams))
	b.snapshot.Jobs = make([]scheduler.Job, 0, len(b.jobs))
	for i, job := range b.jobs {
		b.addJob(job, &chained[i], demand)
	}
}

// chainedJobs returns the jobs with their pending dependencies. Priorities and deadlines
// are already propagated from dependents to dependencies.
func (b *snapshotBuilder) chainedJobs() []scheduler.ChainedJob {
	chained := make([]scheduler.ChainedJob, len(b.jobs))
	hasChains := false
	for i, job := range b.jobs {
		chained[i] = scheduler.ChainedJob{Priority: job.priority(), DeadlineS: math.Inf(1), EstimateS: b.leader.estimator.estimate(&job.spec)}
		if job.spec.DeadlineS > 0 {
			chained[i].DeadlineS = job.spec.DeadlineS - b.now.Sub(job.acceptedAt).Seconds()
		}
		if job.cancelled {
			continue
		}
		for dependency := range job.pendingDependencies {
			if index, ok := b.jobIndex[dependency]; ok {
				chained[i].DependsOn = append(chained[i].DependsOn, index)
				hasChains = true
			}
		}
	}
	if hasChains {
		scheduler.PropagateDeadlines(chained)
	}
	return chained
}

// addJob adds a job to the snapshot. demand holds, by team, the total request of the jobs
// added so far; addJob adds the request of this job's unfinished tasks.
func (b *snapshotBuilder) addJob(job *jobState, chained *scheduler.ChainedJob, demand []scheduler.Resources) {
	team := b.teams[job.spec.Team]
	request := job.request()
	unfinished := job.spec.Tasks - job.doneCount
	guaranteed := false
	// A job that waits for dependencies uses no part of its team's guaranteed quota.
	if !job.cancelled && len(job.pendingDependencies) == 0 {
		demand[team] = demand[team].Minus(request, -unfinished)
		guaranteed = withinGuarantee(request, demand[team], b.guaranteedQuota(team))
	}
	entry := scheduler.Job{
		ID:              job.id,
		Spec:            &job.spec,
		Request:         request,
		Priority:        chained.Priority,
		WithinGuarantee: guaranteed,
		EstimateS:       chained.EstimateS,
		Waiting:         b.waitingTasks(job),
		Running:         len(job.placements),
		Team:            team,
		BackingOff:      b.now.Before(job.backoffUntil),
		Weight:          1,
	}
	var countsTasks bool
	entry.DeadlineS, countsTasks = b.leader.deadlineFor(job, entry.EstimateS, chained.DeadlineS, guaranteed, b.now)
	if countsTasks {
		entry.Weight = float64(job.spec.Tasks)
	}
	if entry.Waiting > 0 && (job.spec.Spread || job.spec.OneZone) {
		entry.RunningByZone = map[string]int{}
		for _, placement := range job.placements {
			entry.RunningByZone[placement.Machine.Zone]++
		}
	}
	inUse := len(job.placements)
	if job.recordUnreadable && b.now.Before(job.backoffUntil) {
		inUse = unfinished // the unreadable segment may name any of them
	}
	b.snapshot.Teams[team].Used = b.snapshot.Teams[team].Used.Minus(request, -inUse)
	b.snapshot.Jobs = append(b.snapshot.Jobs, entry)
}

// waitingTasks is how many tasks of a job may be started now, limited to those whose
// placements fit in the job's run record. A gang starts with all of its tasks or none.
func (b *snapshotBuilder) waitingTasks(job *jobState) int {
	waiting := job.waitingTasks()
	room := b.leader.maxPlacements() - len(job.placements)
	switch {
	case waiting <= room:
		return waiting
	case job.isGang():
		return 0
	}
	return max(0, room)
}

func (b *snapshotBuilder) guaranteedQuota(team int) scheduler.Resources {
	t := b.leader.Config.Deployment.Teams[team]
	return scheduler.Resources{Cores: t.GuaranteedCores, GPUs: t.GuaranteedGPUs}
}

// withinGuarantee reports whether a demand is within a guaranteed quota. Only the
// resources that a task requests are compared.
func withinGuarantee(request, demand, guaranteed scheduler.Resources) bool {
	const tolerance = 1e-9
	return (request.Cores <= 0 || demand.Cores <= guaranteed.Cores+tolerance) &&
		(request.GPUs <= 0 || demand.GPUs <= guaranteed.GPUs+tolerance)
}
