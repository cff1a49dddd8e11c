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

// jobDeadline is a time by which a job should be complete, counted from when it could
// begin, and whether it stands for an aim on the start, which counts tasks.
type jobDeadline struct {
	seconds     float64
	countsTasks bool
}

// deadlineFor is the time until D_k and the latest moment for the first start, if an
// objective sets one, in seconds, and whether it is an aim on the start, which
// counts tasks. inherited is the time until the jobs that need this one must have
// it, in seconds.
func (c *Leader) deadlineFor(job *jobState, est, inherited float64, guaranteed bool, now time.Time) (due float64, onStart bool) {
	age := now.Sub(job.readyAt).Seconds()
	dues := c.deadlines(job, est, guaranteed)
	if !math.IsInf(inherited, 1) {
		dues = append(dues, jobDeadline{age + inherited, false})
	}
	if len(dues) == 0 {
		dues = append(dues, jobDeadline{c.Config.Operator.DeadlineFactor * est, false})
	}
	// The earliest that can still be kept; a job that has missed all of them
	// is held to the last.
	slices.SortStableFunc(dues, func(a, b jobDeadline) int { return cmp.Compare(a.seconds, b.seconds) })
	for _, d := range dues {
		if d.seconds-age >= est {
			return d.seconds - age, d.countsTasks
		}
	}
	last := dues[len(dues)-1]
	return last.seconds - age, last.countsTasks
}

// deadlines lists the job's own deadline and what the objectives ask for it.
func (c *Leader) deadlines(job *jobState, est float64, guaranteed bool) []jobDeadline {
	var dues []jobDeadline
	due := job.spec.DeadlineS > 0
	// It counts from the submission, however long the job has waited for others.
	waited := job.readyAt.Sub(job.acceptedAt).Seconds()
	if due {
		dues = append(dues, jobDeadline{job.spec.DeadlineS - waited, false})
	}
	begun := len(job.placements) > 0
	for _, o := range c.Config.Deployment.Objectives {
		ofClass := o.Class == job.spec.Class
		switch {
		case o.Kind == "deadline" && ofClass && due && o.Times > 1:
			dues = append(dues, jobDeadline{o.Times*job.spec.DeadlineS - waited, false})
		case o.WithinS <= 0:
		case o.Kind == "finished" && ofClass:
			dues = append(dues, jobDeadline{o.WithinS, false})
		case o.Kind == "wait" && ofClass && !begun:
			dues = append(dues, jobDeadline{o.WithinS + est, true})
		case o.Kind == "guarantee" && guaranteed && !begun:
			dues = append(dues, jobDeadline{o.WithinS + est, false})
		}
	}
	return dues
}

// starvationBoundS is how long a job may wait for its first start, in seconds, before it
// goes first: early enough that even the largest begins in time. Room for a gang
// falls free in one zone, a machine after another, and other gangs gather too.
func starvationBoundS(job *jobState, est, slots float64, zones int) float64 {
	gather := 0.0
	if job.isGang() && job.spec.Tasks > 1 && slots > 0 {
		gather = tuning.GangSlackFactor * est * float64(job.spec.Tasks) * float64(zones) / slots
	}
	return max(tuning.StarvationMinS, tuning.MaxStartWaitS-tuning.StarvationMarginS-gather)
}

// snapshotBuilder builds the snapshot that decisions are made from.
type snapshotBuilder struct {
	*Leader
	now      time.Time
	snap     *scheduler.Snapshot
	jobs     []*jobState              // in the order of snap.Jobs
	jobIndex map[protocol.JobID]int   // of snap.Jobs
	teams    map[string]int           // index of snap.Teams
	machines []*cluster.Machine       // in the order of snap.Machines; nil: asked for
	running  []scheduler.RunningTasks // backs the machines' tasks
	// machineCounts are the machines that gangs gather on, with GPUs and without, and
	// zones in how many zones they are.
	machineCounts map[bool]float64
	zones         int
	// unresolved counts the machines that may not be used yet.
	unresolved int
}

func (c *Leader) snapshot(now time.Time) (*scheduler.Snapshot, []*jobState, []*cluster.Machine) {
	b := &snapshotBuilder{Leader: c, now: now, teams: map[string]int{}, jobIndex: map[protocol.JobID]int{}, machineCounts: map[bool]float64{}, zones: 1}
	op := c.Config.Operator
	b.snap = &scheduler.Snapshot{Rho: op.Rho, GPUPriority: c.jobs.gpuPriority, GPURequest: c.jobs.gpuRequest, IdleBootFactor: op.GiveBackFactor,
		StarvationShare: tuning.StarvationShare, StarvationShareIdle: tuning.StarvationShareIdle, ExhaustedPools: map[scheduler.CapacityPool]bool{}}
	b.addTypes()
	b.addTeams()
	b.addJobs()
	b.addMachines()
	b.markStarved()
	b.addProvisioning()
	b.addCapacityBackoffs()
	// After a takeover nothing is rented or given back before the list and the
	// reports are in: what runs already would be rented for again.
	settledIn := now.Sub(c.tookOverAt) > 2*seconds(c.Config.Deployment.Workers.ReportS)
	b.snap.MayScaleOut = c.provisioner.listed && (settledIn || b.unresolved == 0)
	b.snap.MayScaleIn = c.provisioner.listed && settledIn
	return b.snap, b.jobs, b.machines
}

func (b *snapshotBuilder) addTypes() {
	for _, t := range b.catalog.types {
		b.snap.Types = append(b.snap.Types, scheduler.MachineType{Name: t.Name, Capacity: scheduler.Resources{Cores: t.Cores, GPUs: t.GPUs, MemGB: t.MemGB},
			Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, FetchGBps: t.FetchGBps, Zones: t.Zones})
	}
}

func (b *snapshotBuilder) addTeams() {
	for i, t := range b.Config.Deployment.Teams {
		b.teams[t.Name] = i
		b.snap.Teams = append(b.snap.Teams, scheduler.Team{Max: scheduler.Resources{Cores: t.CoresMax, GPUs: t.GPUsMax}})
	}
}

// addJobs adds the jobs in the order of their acceptance.
func (b *snapshotBuilder) addJobs() {
	for _, job := range b.Leader.jobs.open {
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
	chained := b.chained()
	demand := make([]scheduler.Resources, len(b.snap.Teams))
	b.snap.Jobs = make([]scheduler.Job, 0, len(b.jobs))
	for i, job := range b.jobs {
		b.addJob(job, &chained[i], demand)
	}
}

// chained describes the jobs with those that they wait for, after priorities and
// deadlines have been passed on along the chains.
func (b *snapshotBuilder) chained() []scheduler.ChainedJob {
	out := make([]scheduler.ChainedJob, len(b.jobs))
	any := false
	for i, job := range b.jobs {
		out[i] = scheduler.ChainedJob{Priority: job.priority(), DeadlineS: math.Inf(1), EstimateS: b.estimator.estimate(&job.spec)}
		if job.spec.DeadlineS > 0 {
			out[i].DeadlineS = job.spec.DeadlineS - b.now.Sub(job.acceptedAt).Seconds()
		}
		if job.cancelled {
			continue
		}
		for jobID := range job.pendingDependencies {
			if need, ok := b.jobIndex[jobID]; ok {
				out[i].DependsOn = append(out[i].DependsOn, need)
				any = true
			}
		}
	}
	if any {
		scheduler.PropagateDeadlines(out)
	}
	return out
}

// addJob adds a job; demand is what the jobs before it take of each team.
func (b *snapshotBuilder) addJob(job *jobState, chained *scheduler.ChainedJob, demand []scheduler.Resources) {
	team := b.teams[job.spec.Team]
	need := job.request()
	left := job.spec.Tasks - job.doneCount
	guaranteed := false
	// A job that waits for others holds no part of its team's guarantee.
	if !job.cancelled && len(job.pendingDependencies) == 0 {
		demand[team] = demand[team].Minus(need, -left)
		guaranteed = withinGuarantee(need, demand[team], b.guarantee(team))
	}
	sj := scheduler.Job{ID: job.id, Spec: &job.spec, Request: need, Priority: chained.Priority, Guaranteed: guaranteed, EstimateS: chained.EstimateS,
		Waiting: job.waitingTasks(), Running: len(job.placements), Team: team, BackingOff: b.now.Before(job.backoffUntil), Weight: 1}
	var onStart bool
	if sj.DeadlineS, onStart = b.deadlineFor(job, sj.EstimateS, chained.DeadlineS, guaranteed, b.now); onStart {
		sj.Weight = float64(job.spec.Tasks)
	}
	if room := b.maxPlacements() - len(job.placements); sj.Waiting > room {
		// More would not fit into the run record, and a gang starts whole.
		sj.Waiting = max(0, room)
		if job.isGang() {
			sj.Waiting = 0
		}
	}
	if sj.Waiting > 0 && (job.spec.Spread || job.spec.OneZone) {
		sj.RunningByZone = map[string]int{}
		for _, placement := range job.placements {
			sj.RunningByZone[placement.Machine.Zone]++
		}
	}
	used := len(job.placements)
	if job.recordUnreadable && b.now.Before(job.backoffUntil) {
		used = left // any of them may run
	}
	b.snap.Teams[team].Used = b.snap.Teams[team].Used.Minus(need, -used)
	b.snap.Jobs = append(b.snap.Jobs, sj)
}

// guarantee is what a team is guaranteed.
func (b *snapshotBuilder) guarantee(team int) scheduler.Resources {
	t := b.Config.Deployment.Teams[team]
	return scheduler.Resources{Cores: t.Cores, GPUs: t.GPUs}
}

// withinGuarantee tells whether a demand is within a guarantee in what a task needs.
func withinGuarantee(need, demand, guarantee scheduler.Resources) bool {
	const tolerance = 1e-9
	return (need.Cores <= 0 || demand.Cores <= guarantee.Cores+tolerance) &&
		(need.GPUs <= 0 || demand.GPUs <= guarantee.GPUs+tolerance)
}

func (b *snapshotBuilder) addMachines() {
	b.machines = make([]*cluster.Machine, 0, len(b.Leader.machines.sorted))
	b.snap.Machines = make([]scheduler.Machine, 0, len(b.Leader.machines.sorted))
	b.running = make([]scheduler.RunningTasks, 0, b.cycle.runningEntries+len(b.Leader.machines.sorted))
	for _, machine := range b.Leader.machines.sorted {
		if typ, ok := b.catalog.index[machine.Type]; ok {
			b.addMachine(machine, typ)
		}
	}
	b.cycle.runningEntries = len(b.running)
}

func (b *snapshotBuilder) addMachine(machine *cluster.Machine, typ int) {
	machineType := &b.snap.Types[typ]
	sm := scheduler.Machine{ID: machine.ID, Type: typ, Zone: machine.Zone, Spot: machine.Spot, Free: machineType.Capacity,
		Schedulable: machine.Schedulable(b.now, b.schedulableSilence()), Empty: len(machine.Placements) == 0 && len(machine.Outbox) == 0, IdleS: b.now.Sub(machine.IdleSince).Seconds(),
		GPUIdleS: b.now.Sub(machine.GPUIdleSince).Seconds()}
	sm.Booting = !machine.Up && !machine.Deprovisioning && b.now.Sub(machine.ProvisionedAt) < seconds(tuning.BootSlow*machineType.BootS)
	if machine.Up && !sm.Schedulable && !machine.Deprovisioning && machine.PreemptionAt.IsZero() {
		b.unresolved++
	}
	if !machine.Deprovisioning {
		b.machineCounts[machineType.Capacity.GPUs > 0]++
		b.zones = max(b.zones, len(machineType.Zones))
	}
	b.addRunning(&sm, machine, machineType)
	sm.Images = machine.Images()
	b.snap.Machines = append(b.snap.Machines, sm)
	b.machines = append(b.machines, machine)
}

// addRunning takes what is on a machine off its room, and sums it up by jobs.
func (b *snapshotBuilder) addRunning(sm *scheduler.Machine, machine *cluster.Machine, machineType *scheduler.MachineType) {
	first := len(b.running)
	var fetching []string
	for k, placement := range machine.Placements {
		jobIndex, ok := b.jobIndex[k.Job]
		if !ok {
			sm.Schedulable = false
			continue
		}
		job := &b.snap.Jobs[jobIndex]
		sm.Free = sm.Free.Minus(job.Request, 1)
		i := slices.IndexFunc(b.running[first:], func(r scheduler.RunningTasks) bool { return r.Job == jobIndex })
		if i < 0 {
			i = len(b.running) - first
			b.running = append(b.running, scheduler.RunningTasks{Job: jobIndex})
		}
		b.addPlacement(&b.running[first+i], placement, job)
		if (placement.State == "" || placement.State == protocol.TaskFetching) && !slices.Contains(fetching, job.Spec.Image) {
			fetching = append(fetching, job.Spec.Image)
			sm.PendingFetchGB += max(0, job.Spec.ImageGB-machineType.FetchGBps*b.now.Sub(placement.Since).Seconds())
		}
	}
	sm.Tasks = b.running[first:len(b.running):len(b.running)]
}

func (b *snapshotBuilder) addPlacement(r *scheduler.RunningTasks, placement *cluster.Placement, job *scheduler.Job) {
	r.Count++
	if placement.Stopping {
		r.Stopping++
	}
	r.RemainingS = max(r.RemainingS, job.EstimateS)
	if placement.State != protocol.TaskRunning {
		return
	}
	ran := b.now.Sub(placement.Since).Seconds()
	r.RemainingS = max(0, job.EstimateS-ran)
	lost := ran
	if interval := job.Spec.CheckpointIntervalS; interval > 0 {
		lost = min(lost, interval)
	}
	r.LostWorkS += lost
}

// markStarved marks the jobs that have waited longer than any may.
func (b *snapshotBuilder) markStarved() {
	for i, job := range b.jobs {
		if job.fullyStarted() || len(job.pendingDependencies) > 0 {
			continue
		}
		sj := &b.snap.Jobs[i]
		age := b.now.Sub(job.readyAt).Seconds()
		sj.StarvedS = max(0, age-starvationBoundS(job, sj.EstimateS, b.machineCounts[sj.Request.GPUs > 0], b.zones))
		sj.MaxWaitExceeded = age > tuning.MaxStartWaitS
	}
}

// addProvisioning adds the machines that were asked for without an answer yet: their room
// counts as coming.
func (b *snapshotBuilder) addProvisioning() {
	for _, request := range b.provisioner.requests {
		typ, ok := b.catalog.index[request.Type]
		if !ok || request.resolved {
			continue
		}
		for range request.Count {
			b.snap.Machines = append(b.snap.Machines, scheduler.Machine{Type: typ, Zone: request.Zone, Spot: request.Spot, Free: b.snap.Types[typ].Capacity, Booting: true})
			b.machines = append(b.machines, nil)
		}
	}
}

func (b *snapshotBuilder) addCapacityBackoffs() {
	for o, r := range b.provisioner.backoffs {
		if typ, ok := b.catalog.index[o.machineType]; ok && b.now.Before(r.until) {
			b.snap.ExhaustedPools[scheduler.CapacityPool{Type: typ, Zone: o.zone, Spot: o.spot}] = true
		}
	}
}
