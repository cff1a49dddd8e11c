package leader

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/scheduler"
	"marblehaven/internal/tuning"
)

// deadline is a time by which a job should be complete, counted from when it could
// begin, and whether it stands for an aim on the start, which counts tasks.
type deadline struct {
	seconds     float64
	countsTasks bool
}

// deadlineFor is the time until D_k and the latest moment for the first start, if an
// objective sets one, in seconds, and whether it is an aim on the start, which
// counts tasks. inherited is the time until the jobs that need this one must have
// it, in seconds.
func (c *Leader) deadlineFor(j *jobState, est, inherited float64, guaranteed bool, now time.Time) (due float64, onStart bool) {
	age := now.Sub(j.readyAt).Seconds()
	dues := c.deadlines(j, est, guaranteed)
	if !math.IsInf(inherited, 1) {
		dues = append(dues, deadline{age + inherited, false})
	}
	if len(dues) == 0 {
		dues = append(dues, deadline{c.Config.Operator.DeadlineFactor * est, false})
	}
	// The earliest that can still be kept; a job that has missed all of them
	// is held to the last.
	slices.SortStableFunc(dues, func(a, b deadline) int { return cmp.Compare(a.seconds, b.seconds) })
	for _, d := range dues {
		if d.seconds-age >= est {
			return d.seconds - age, d.countsTasks
		}
	}
	last := dues[len(dues)-1]
	return last.seconds - age, last.countsTasks
}

// deadlines lists the job's own deadline and what the objectives ask for it.
func (c *Leader) deadlines(j *jobState, est float64, guaranteed bool) []deadline {
	var dues []deadline
	due := j.spec.DeadlineS > 0
	// It counts from the submission, however long the job has waited for others.
	waited := j.readyAt.Sub(j.acceptedAt).Seconds()
	if due {
		dues = append(dues, deadline{j.spec.DeadlineS - waited, false})
	}
	begun := len(j.placements) > 0
	for _, o := range c.Config.Deployment.Objectives {
		ofClass := o.Class == j.spec.Class
		switch {
		case o.Kind == "deadline" && ofClass && due && o.Times > 1:
			dues = append(dues, deadline{o.Times*j.spec.DeadlineS - waited, false})
		case o.WithinS <= 0:
		case o.Kind == "finished" && ofClass:
			dues = append(dues, deadline{o.WithinS, false})
		case o.Kind == "wait" && ofClass && !begun:
			dues = append(dues, deadline{o.WithinS + est, true})
		case o.Kind == "guarantee" && guaranteed && !begun:
			dues = append(dues, deadline{o.WithinS + est, false})
		}
	}
	return dues
}

// starvationBoundS is how long a job may wait for its first start, in seconds, before it
// goes first: early enough that even the largest begins in time. Room for a gang
// falls free in one zone, a machine after another, and other gangs gather too.
func starvationBoundS(j *jobState, est, slots float64, zones int) float64 {
	gather := 0.0
	if j.isGang() && j.spec.Tasks > 1 && slots > 0 {
		gather = tuning.GangSlackFactor * est * float64(j.spec.Tasks) * float64(zones) / slots
	}
	return max(tuning.StarvationMinS, tuning.MaxStartWaitS-tuning.StarvationMarginS-gather)
}

// snapshotBuilder builds the snapshot that decisions are made from.
type snapshotBuilder struct {
	*Leader
	now      time.Time
	snap     *scheduler.Snapshot
	jobs     []*jobState              // in the order of snap.Jobs
	jobIndex map[string]int           // of snap.Jobs
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
	b := &snapshotBuilder{Leader: c, now: now, teams: map[string]int{}, jobIndex: map[string]int{}, machineCounts: map[bool]float64{}, zones: 1}
	op := c.Config.Operator
	b.snap = &scheduler.Snapshot{Rho: op.Rho, GPUPriority: c.gpuPriority, GPURequest: c.gpuRequest, IdleBootFactor: op.GiveBackFactor,
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
	b.snap.MayScaleOut = c.machinesListed && (settledIn || b.unresolved == 0)
	b.snap.MayScaleIn = c.machinesListed && settledIn
	return b.snap, b.jobs, b.machines
}

func (b *snapshotBuilder) addTypes() {
	for _, t := range b.machineTypes {
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
	for _, j := range b.Leader.jobs {
		if _, ok := b.teams[j.spec.Team]; ok {
			b.jobs = append(b.jobs, j)
		}
	}
	slices.SortFunc(b.jobs, func(x, y *jobState) int {
		return cmp.Or(x.acceptedAt.Compare(y.acceptedAt), strings.Compare(x.id, y.id))
	})
	for i, j := range b.jobs {
		b.jobIndex[j.id] = i
	}
	chained := b.chained()
	demand := make([]scheduler.Resources, len(b.snap.Teams))
	b.snap.Jobs = make([]scheduler.Job, 0, len(b.jobs))
	for i, j := range b.jobs {
		b.addJob(j, &chained[i], demand)
	}
}

// chained describes the jobs with those that they wait for, after priorities and
// deadlines have been passed on along the chains.
func (b *snapshotBuilder) chained() []scheduler.ChainedJob {
	out := make([]scheduler.ChainedJob, len(b.jobs))
	any := false
	for i, j := range b.jobs {
		out[i] = scheduler.ChainedJob{Priority: j.priority(), DeadlineS: math.Inf(1), EstimateS: b.estimator.estimate(&j.spec)}
		if j.spec.DeadlineS > 0 {
			out[i].DeadlineS = j.spec.DeadlineS - b.now.Sub(j.acceptedAt).Seconds()
		}
		if j.cancelled {
			continue
		}
		for ref := range j.pendingDependencies {
			if need, ok := b.jobIndex[ref]; ok {
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
func (b *snapshotBuilder) addJob(j *jobState, chained *scheduler.ChainedJob, demand []scheduler.Resources) {
	team := b.teams[j.spec.Team]
	need := j.request()
	left := j.spec.Tasks - j.doneCount
	guaranteed := false
	// A job that waits for others holds no part of its team's guarantee.
	if !j.cancelled && len(j.pendingDependencies) == 0 {
		demand[team] = demand[team].Minus(need, -left)
		guaranteed = withinGuarantee(need, demand[team], b.guarantee(team))
	}
	sj := scheduler.Job{ID: j.id, Spec: &j.spec, Request: need, Priority: chained.Priority, Guaranteed: guaranteed, EstimateS: chained.EstimateS,
		Waiting: j.waitingTasks(), Running: len(j.placements), Team: team, BackingOff: b.now.Before(j.backoffUntil), Weight: 1}
	var onStart bool
	if sj.DeadlineS, onStart = b.deadlineFor(j, sj.EstimateS, chained.DeadlineS, guaranteed, b.now); onStart {
		sj.Weight = float64(j.spec.Tasks)
	}
	if room := b.maxPlacements() - len(j.placements); sj.Waiting > room {
		// More would not fit into the run record, and a gang starts whole.
		sj.Waiting = max(0, room)
		if j.isGang() {
			sj.Waiting = 0
		}
	}
	if sj.Waiting > 0 && (j.spec.Spread || j.spec.OneZone) {
		sj.RunningByZone = map[string]int{}
		for _, p := range j.placements {
			sj.RunningByZone[p.Machine.Zone]++
		}
	}
	used := len(j.placements)
	if j.recordUnreadable && b.now.Before(j.backoffUntil) {
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
	b.machines = make([]*cluster.Machine, 0, len(b.sorted))
	b.snap.Machines = make([]scheduler.Machine, 0, len(b.sorted))
	b.running = make([]scheduler.RunningTasks, 0, b.lastRunning+len(b.sorted))
	for _, m := range b.sorted {
		if typ, ok := b.typeIndex[m.Type]; ok {
			b.addMachine(m, typ)
		}
	}
	b.lastRunning = len(b.running)
}

func (b *snapshotBuilder) addMachine(m *cluster.Machine, typ int) {
	t := &b.snap.Types[typ]
	sm := scheduler.Machine{ID: m.ID, Type: typ, Zone: m.Zone, Spot: m.Spot, Free: t.Capacity,
		Schedulable: m.Schedulable(b.now, b.schedulableSilence()), Empty: len(m.Placements) == 0 && len(m.Outbox) == 0, IdleS: b.now.Sub(m.IdleSince).Seconds(),
		GPUIdleS: b.now.Sub(m.GPUIdleSince).Seconds()}
	sm.Booting = !m.Up && !m.Deprovisioning && b.now.Sub(m.ProvisionedAt) < seconds(tuning.BootSlow*t.BootS)
	if m.Up && !sm.Schedulable && !m.Deprovisioning && m.PreemptionAt.IsZero() {
		b.unresolved++
	}
	if !m.Deprovisioning {
		b.machineCounts[t.Capacity.GPUs > 0]++
		b.zones = max(b.zones, len(t.Zones))
	}
	b.addRunning(&sm, m, t)
	sm.Images = m.Images()
	b.snap.Machines = append(b.snap.Machines, sm)
	b.machines = append(b.machines, m)
}

// addRunning takes what is on a machine off its room, and sums it up by jobs.
func (b *snapshotBuilder) addRunning(sm *scheduler.Machine, m *cluster.Machine, t *scheduler.MachineType) {
	first := len(b.running)
	var fetching []string
	for k, p := range m.Placements {
		ji, ok := b.jobIndex[k.Job]
		if !ok {
			sm.Schedulable = false
			continue
		}
		j := &b.snap.Jobs[ji]
		sm.Free = sm.Free.Minus(j.Request, 1)
		i := slices.IndexFunc(b.running[first:], func(r scheduler.RunningTasks) bool { return r.Job == ji })
		if i < 0 {
			i = len(b.running) - first
			b.running = append(b.running, scheduler.RunningTasks{Job: ji})
		}
		b.addPlacement(&b.running[first+i], p, j)
		if (p.State == "" || p.State == protocol.TaskFetching) && !slices.Contains(fetching, j.Spec.Image) {
			fetching = append(fetching, j.Spec.Image)
			sm.PendingFetchGB += max(0, j.Spec.ImageGB-t.FetchGBps*b.now.Sub(p.Since).Seconds())
		}
	}
	sm.Tasks = b.running[first:len(b.running):len(b.running)]
}

func (b *snapshotBuilder) addPlacement(r *scheduler.RunningTasks, p *cluster.Placement, j *scheduler.Job) {
	r.Count++
	if p.Stopping {
		r.Stopping++
	}
	r.RemainingS = max(r.RemainingS, j.EstimateS)
	if p.State != protocol.TaskRunning {
		return
	}
	ran := b.now.Sub(p.Since).Seconds()
	r.RemainingS = max(0, j.EstimateS-ran)
	lost := ran
	if interval := j.Spec.CheckpointIntervalS; interval > 0 {
		lost = min(lost, interval)
	}
	r.LostWorkS += lost
}

// markStarved marks the jobs that have waited longer than any may.
func (b *snapshotBuilder) markStarved() {
	for i, j := range b.jobs {
		if j.fullyStarted() || len(j.pendingDependencies) > 0 {
			continue
		}
		sj := &b.snap.Jobs[i]
		age := b.now.Sub(j.readyAt).Seconds()
		sj.StarvedS = max(0, age-starvationBoundS(j, sj.EstimateS, b.machineCounts[sj.Request.GPUs > 0], b.zones))
		sj.MaxWaitExceeded = age > tuning.MaxStartWaitS
	}
}

// addProvisioning adds the machines that were asked for without an answer yet: their room
// counts as coming.
func (b *snapshotBuilder) addProvisioning() {
	for _, cl := range b.provisionRequests {
		typ, ok := b.typeIndex[cl.Type]
		if !ok || cl.resolved {
			continue
		}
		for range cl.Count {
			b.snap.Machines = append(b.snap.Machines, scheduler.Machine{Type: typ, Zone: cl.Zone, Spot: cl.Spot, Free: b.snap.Types[typ].Capacity, Booting: true})
			b.machines = append(b.machines, nil)
		}
	}
}

func (b *snapshotBuilder) addCapacityBackoffs() {
	for o, r := range b.capacityBackoffs {
		if typ, ok := b.typeIndex[o.machineType]; ok && b.now.Before(r.until) {
			b.snap.ExhaustedPools[scheduler.CapacityPool{Type: typ, Zone: o.zone, Spot: o.spot}] = true
		}
	}
}
