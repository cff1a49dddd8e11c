package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/scheduler"
	"marblehaven/internal/tuning"
)

// snapshotBuilder builds the snapshot that the scheduler decides from.
type snapshotBuilder struct {
	leader   *Leader
	now      time.Time
	snapshot *scheduler.Snapshot
	jobs     []*jobState            // in the order of snapshot.Jobs
	jobIndex map[protocol.JobID]int // of snapshot.Jobs
	teams    map[string]int         // index of snapshot.Teams
	machines []*cluster.Machine     // in the order of snapshot.Machines; nil: requested, not provisioned yet
	running  []scheduler.RunningTasks
	// machinesByGPU counts the machines that are not being deprovisioned, with GPUs
	// (true) and without (false). zones is the largest number of zones that the type of
	// one of these machines is offered in.
	machinesByGPU map[bool]float64
	zones         int
	// notSchedulable counts the machines that are up but not schedulable, except those being
	// deprovisioned or under a preemption notice.
	notSchedulable int
}

// snapshot returns the scheduler's input, with the jobs and machines that its indices
// refer to.
func (l *Leader) snapshot(now time.Time) (*scheduler.Snapshot, []*jobState, []*cluster.Machine) {
	b := &snapshotBuilder{
		leader:        l,
		now:           now,
		snapshot:      l.emptySnapshot(),
		teams:         map[string]int{},
		jobIndex:      map[protocol.JobID]int{},
		machinesByGPU: map[bool]float64{},
		zones:         1,
	}
	b.addTypes()
	b.addTeams()
	b.addJobs()
	b.addMachines()
	b.markStarved()
	b.addProvisioning()
	b.addCapacityBackoffs()
	// After a failover the leader neither scales out nor scales in before it has read
	// the machine list and has had time to receive a heartbeat from every machine:
	// otherwise it would provision capacity again that already exists. It need not wait
	// for heartbeats before it scales out if every machine that has reported in this term
	// is schedulable.
	settled := now.Sub(l.tookOverAt) > l.heartbeatIntervals(2)
	b.snapshot.MayScaleOut = l.provisioner.listed && (settled || b.notSchedulable == 0)
	b.snapshot.MayScaleIn = l.provisioner.listed && settled
	return b.snapshot, b.jobs, b.machines
}

func (l *Leader) emptySnapshot() *scheduler.Snapshot {
	return &scheduler.Snapshot{
		Rho:                           l.Config.Operator.Rho,
		IdleTimeoutBootFactor:         l.Config.Operator.IdleTimeoutBootFactor,
		LowestGPUPriority:             l.jobs.lowestGPUPriority,
		LargestGPURequest:             l.jobs.largestGPURequest,
		StarvationShare:               tuning.StarvationShare,
		StarvationShareLowestPriority: tuning.StarvationShareLowestPriority,
		ExhaustedPools:                map[scheduler.CapacityPool]bool{},
	}
}

func (b *snapshotBuilder) addTypes() {
	for _, t := range b.leader.catalog.types {
		b.snapshot.Types = append(b.snapshot.Types, scheduler.MachineType{
			Name:      t.Name,
			Capacity:  scheduler.Resources{Cores: t.Cores, GPUs: t.GPUs, MemGB: t.MemGB},
			Price:     t.Price,
			SpotPrice: t.SpotPrice,
			BootS:     t.BootS,
			FetchGBps: t.FetchGBps,
			Zones:     t.Zones,
		})
	}
}

func (b *snapshotBuilder) addTeams() {
	for i, team := range b.leader.Config.Deployment.Teams {
		b.teams[team.Name] = i
		limit := scheduler.Resources{Cores: team.CoresMax, GPUs: team.GPUsMax}
		b.snapshot.Teams = append(b.snapshot.Teams, scheduler.Team{Max: limit})
	}
}

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

func (b *snapshotBuilder) addMachines() {
	sorted := b.leader.machines.sorted
	b.machines = make([]*cluster.Machine, 0, len(sorted))
	b.snapshot.Machines = make([]scheduler.Machine, 0, len(sorted))
	b.running = make([]scheduler.RunningTasks, 0, b.leader.cycle.runningLen+len(sorted))
	for _, machine := range sorted {
		if typeIndex, ok := b.leader.catalog.index[machine.Type]; ok {
			b.addMachine(machine, typeIndex)
		}
	}
	b.leader.cycle.runningLen = len(b.running)
}

func (b *snapshotBuilder) addMachine(machine *cluster.Machine, typeIndex int) {
	machineType := &b.snapshot.Types[typeIndex]
	entry := scheduler.Machine{
		ID:          machine.ID,
		Type:        typeIndex,
		Zone:        machine.Zone,
		Spot:        machine.Spot,
		Free:        machineType.Capacity,
		Schedulable: machine.Schedulable(b.now, b.leader.maxSchedulableSilence()),
		Empty:       len(machine.Placements) == 0 && len(machine.Outbox) == 0,
		IdleS:       b.now.Sub(machine.IdleSince).Seconds(),
		GPUIdleS:    b.now.Sub(machine.GPUIdleSince).Seconds(),
	}
	bootLimit := seconds(tuning.BootExpectedFactor * machineType.BootS)
	entry.Booting = !machine.Up && !machine.Deprovisioning && b.now.Sub(machine.ProvisionedAt) < bootLimit
	if machine.Up && !entry.Schedulable && !machine.Deprovisioning && machine.PreemptionAt.IsZero() {
		b.notSchedulable++
	}
	if !machine.Deprovisioning {
		b.machinesByGPU[machineType.Capacity.GPUs > 0]++
		b.zones = max(b.zones, len(machineType.Zones))
	}
	b.addRunning(&entry, machine, machineType)
	entry.Images = machine.Images()
	b.snapshot.Machines = append(b.snapshot.Machines, entry)
	b.machines = append(b.machines, machine)
}

// addRunning subtracts the placements on a machine from its free capacity, and adds them
// up by job.
func (b *snapshotBuilder) addRunning(entry *scheduler.Machine, machine *cluster.Machine, machineType *scheduler.MachineType) {
	first := len(b.running)
	var fetching []string
	for key, placement := range machine.Placements {
		jobIndex, ok := b.jobIndex[key.Job]
		if !ok {
			entry.Schedulable = false
			continue
		}
		job := &b.snapshot.Jobs[jobIndex]
		entry.Free = entry.Free.Minus(job.Request, 1)
		i := slices.IndexFunc(b.running[first:], func(r scheduler.RunningTasks) bool { return r.Job == jobIndex })
		if i < 0 {
			i = len(b.running) - first
			b.running = append(b.running, scheduler.RunningTasks{Job: jobIndex})
		}
		b.addPlacement(&b.running[first+i], placement, job)
		isFetching := placement.State == "" || placement.State == protocol.TaskFetching
		if isFetching && !slices.Contains(fetching, job.Spec.Image) {
			fetching = append(fetching, job.Spec.Image)
			fetchedGB := machineType.FetchGBps * b.now.Sub(placement.Since).Seconds()
			entry.PendingFetchGB += max(0, job.Spec.ImageGB-fetchedGB)
		}
	}
	entry.Tasks = b.running[first:len(b.running):len(b.running)]
}

func (b *snapshotBuilder) addPlacement(running *scheduler.RunningTasks, placement *cluster.Placement, job *scheduler.Job) {
	running.Count++
	if placement.Stopping {
		running.Stopping++
	}
	running.RemainingS = max(running.RemainingS, job.EstimateS)
	if placement.State != protocol.TaskRunning {
		return
	}
	ranS := b.now.Sub(placement.Since).Seconds()
	running.RemainingS = max(0, job.EstimateS-ranS)
	lostS := ranS
	if interval := job.Spec.CheckpointIntervalS; interval > 0 {
		lostS = min(lostS, interval)
	}
	running.LostWorkS += lostS
}

// markStarved marks the jobs that have waited longer than their starvation bound.
func (b *snapshotBuilder) markStarved() {
	for i, job := range b.jobs {
		if job.fullyStarted() || len(job.pendingDependencies) > 0 {
			continue
		}
		entry := &b.snapshot.Jobs[i]
		waitedS := b.now.Sub(job.readyAt).Seconds()
		machines := b.machinesByGPU[entry.Request.GPUs > 0]
		entry.StarvedS = max(0, waitedS-starvationBoundS(job, entry.EstimateS, machines, b.zones))
		entry.MaxWaitExceeded = waitedS > tuning.MaxStartWaitS
	}
}

// addProvisioning adds the machines of provisioning requests that are not resolved yet.
// Their capacity counts as booting.
func (b *snapshotBuilder) addProvisioning() {
	for _, request := range b.leader.provisioner.requests {
		typeIndex, ok := b.leader.catalog.index[request.Type]
		if !ok || request.resolved {
			continue
		}
		for range request.Count {
			b.snapshot.Machines = append(b.snapshot.Machines, scheduler.Machine{
				Type:    typeIndex,
				Zone:    request.Zone,
				Spot:    request.Spot,
				Free:    b.snapshot.Types[typeIndex].Capacity,
				Booting: true,
			})
			b.machines = append(b.machines, nil)
		}
	}
}

func (b *snapshotBuilder) addCapacityBackoffs() {
	for pool, backoff := range b.leader.provisioner.backoffs {
		if typeIndex, ok := b.leader.catalog.index[pool.machineType]; ok && b.now.Before(backoff.until) {
			b.snapshot.ExhaustedPools[scheduler.CapacityPool{Type: typeIndex, Zone: pool.zone, Spot: pool.spot}] = true
		}
	}
}
