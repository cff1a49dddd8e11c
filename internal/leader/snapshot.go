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
	seconds float64
	onStart bool
}

// dueIn is the time until D_k and the latest moment for the first start, if an
// objective sets one, in seconds, and whether it is an aim on the start, which
// counts tasks. inherited is the time until the jobs that need this one must have
// it, in seconds.
func (c *Controller) dueIn(j *job, est, inherited float64, guaranteed bool, now time.Time) (due float64, onStart bool) {
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
			return d.seconds - age, d.onStart
		}
	}
	last := dues[len(dues)-1]
	return last.seconds - age, last.onStart
}

// deadlines lists the job's own deadline and what the objectives ask for it.
func (c *Controller) deadlines(j *job, est float64, guaranteed bool) []deadline {
	var dues []deadline
	due := j.desc.DeadlineS > 0
	// It counts from the submission, however long the job has waited for others.
	waited := j.readyAt.Sub(j.at).Seconds()
	if due {
		dues = append(dues, deadline{j.desc.DeadlineS - waited, false})
	}
	begun := len(j.live) > 0
	for _, o := range c.Config.Deployment.Objectives {
		ofClass := o.Class == j.desc.Class
		switch {
		case o.Kind == "deadline" && ofClass && due && o.Times > 1:
			dues = append(dues, deadline{o.Times*j.desc.DeadlineS - waited, false})
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

// mayWait is how long a job may wait for its first start, in seconds, before it
// goes first: early enough that even the largest begins in time. Room for a gang
// falls free in one zone, a machine after another, and other gangs gather too.
func mayWait(j *job, est, slots float64, zones int) float64 {
	gather := 0.0
	if j.gang() && j.desc.Tasks > 1 && slots > 0 {
		gather = tuning.GangSlackFactor * est * float64(j.desc.Tasks) * float64(zones) / slots
	}
	return max(tuning.StarvationMinS, tuning.MaxStartWaitS-tuning.StarvationMarginS-gather)
}

// snapshotter builds the snapshot that decisions are made from.
type snapshotter struct {
	*Controller
	now      time.Time
	snap     *scheduler.Snapshot
	jobs     []*job                   // in the order of snap.Jobs
	jobIndex map[string]int           // of snap.Jobs
	teams    map[string]int           // index of snap.Teams
	machines []*cluster.Machine       // in the order of snap.Machines; nil: asked for
	running  []scheduler.RunningTasks // backs the machines' tasks
	// slots are the machines that gangs gather on, with GPUs and without, and
	// zones in how many zones they are.
	slots map[bool]float64
	zones int
	// unsettled counts the machines that may not be used yet.
	unsettled int
}

func (c *Controller) snapshot(now time.Time) (*scheduler.Snapshot, []*job, []*cluster.Machine) {
	b := &snapshotter{Controller: c, now: now, teams: map[string]int{}, jobIndex: map[string]int{}, slots: map[bool]float64{}, zones: 1}
	op := c.Config.Operator
	b.snap = &scheduler.Snapshot{Rho: op.Rho, GPUPriority: c.gpuRank, GPURequest: c.gpuNeed, IdleBootFactor: op.GiveBackFactor,
		StarvationShare: tuning.StarvationShare, StarvationShareIdle: tuning.StarvationShareIdle, ExhaustedPools: map[scheduler.CapacityPool]bool{}}
	b.addTypes()
	b.addTeams()
	b.addJobs()
	b.addMachines()
	b.markOverdue()
	b.addClaims()
	b.addRefused()
	// After a takeover nothing is rented or given back before the list and the
	// reports are in: what runs already would be rented for again.
	settledIn := now.Sub(c.takeover) > 2*seconds(c.Config.Deployment.Workers.ReportS)
	b.snap.MayScaleOut = c.listed && (settledIn || b.unsettled == 0)
	b.snap.MayScaleIn = c.listed && settledIn
	return b.snap, b.jobs, b.machines
}

func (b *snapshotter) addTypes() {
	for _, t := range b.types {
		b.snap.Types = append(b.snap.Types, scheduler.MachineType{Name: t.Name, Capacity: scheduler.Resources{Cores: t.Cores, GPUs: t.GPUs, MemGB: t.MemGB},
			Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, FetchGBps: t.FetchGBps, Zones: t.Zones})
	}
}

func (b *snapshotter) addTeams() {
	for i, t := range b.Config.Deployment.Teams {
		b.teams[t.Name] = i
		b.snap.Teams = append(b.snap.Teams, scheduler.Team{Max: scheduler.Resources{Cores: t.CoresMax, GPUs: t.GPUsMax}})
	}
}

// addJobs adds the jobs in the order of their acceptance.
func (b *snapshotter) addJobs() {
	for _, j := range b.Controller.jobs {
		if _, ok := b.teams[j.desc.Team]; ok {
			b.jobs = append(b.jobs, j)
		}
	}
	slices.SortFunc(b.jobs, func(x, y *job) int {
		return cmp.Or(x.at.Compare(y.at), strings.Compare(x.ref, y.ref))
	})
	for i, j := range b.jobs {
		b.jobIndex[j.ref] = i
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
func (b *snapshotter) chained() []scheduler.ChainedJob {
	out := make([]scheduler.ChainedJob, len(b.jobs))
	any := false
	for i, j := range b.jobs {
		out[i] = scheduler.ChainedJob{Priority: j.rank(), DeadlineS: math.Inf(1), EstimateS: b.est.of(&j.desc)}
		if j.desc.DeadlineS > 0 {
			out[i].DeadlineS = j.desc.DeadlineS - b.now.Sub(j.at).Seconds()
		}
		if j.cancelled {
			continue
		}
		for ref := range j.waitsFor {
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
func (b *snapshotter) addJob(j *job, chained *scheduler.ChainedJob, demand []scheduler.Resources) {
	team := b.teams[j.desc.Team]
	need := j.need()
	left := j.desc.Tasks - j.nDone
	guaranteed := false
	// A job that waits for others holds no part of its team's guarantee.
	if !j.cancelled && len(j.waitsFor) == 0 {
		demand[team] = demand[team].Minus(need, -left)
		guaranteed = withinGuarantee(need, demand[team], b.guarantee(team))
	}
	sj := scheduler.Job{ID: j.ref, Spec: &j.desc, Request: need, Priority: chained.Priority, Guaranteed: guaranteed, EstimateS: chained.EstimateS,
		Waiting: j.waiting(), Running: len(j.live), Team: team, BackingOff: b.now.Before(j.restUntil), Weight: 1}
	var onStart bool
	if sj.DeadlineS, onStart = b.dueIn(j, sj.EstimateS, chained.DeadlineS, guaranteed, b.now); onStart {
		sj.Weight = float64(j.desc.Tasks)
	}
	if room := b.liveMost() - len(j.live); sj.Waiting > room {
		// More would not fit into the run record, and a gang starts whole.
		sj.Waiting = max(0, room)
		if j.gang() {
			sj.Waiting = 0
		}
	}
	if sj.Waiting > 0 && (j.desc.Spread || j.desc.OneZone) {
		sj.RunningByZone = map[string]int{}
		for _, p := range j.live {
			sj.RunningByZone[p.Machine.Zone]++
		}
	}
	used := len(j.live)
	if j.unread && b.now.Before(j.restUntil) {
		used = left // any of them may run
	}
	b.snap.Teams[team].Used = b.snap.Teams[team].Used.Minus(need, -used)
	b.snap.Jobs = append(b.snap.Jobs, sj)
}

// guarantee is what a team is guaranteed.
func (b *snapshotter) guarantee(team int) scheduler.Resources {
	t := b.Config.Deployment.Teams[team]
	return scheduler.Resources{Cores: t.Cores, GPUs: t.GPUs}
}

// withinGuarantee tells whether a demand is within a guarantee in what a task needs.
func withinGuarantee(need, demand, guarantee scheduler.Resources) bool {
	const tolerance = 1e-9
	return (need.Cores <= 0 || demand.Cores <= guarantee.Cores+tolerance) &&
		(need.GPUs <= 0 || demand.GPUs <= guarantee.GPUs+tolerance)
}

func (b *snapshotter) addMachines() {
	b.machines = make([]*cluster.Machine, 0, len(b.sorted))
	b.snap.Machines = make([]scheduler.Machine, 0, len(b.sorted))
	b.running = make([]scheduler.RunningTasks, 0, b.lastRunning+len(b.sorted))
	for _, m := range b.sorted {
		if typ, ok := b.typeIdx[m.Type]; ok {
			b.addMachine(m, typ)
		}
	}
	b.lastRunning = len(b.running)
}

func (b *snapshotter) addMachine(m *cluster.Machine, typ int) {
	t := &b.snap.Types[typ]
	sm := scheduler.Machine{ID: m.ID, Type: typ, Zone: m.Zone, Spot: m.Spot, Free: t.Capacity,
		Schedulable: m.Schedulable(b.now, b.silence()), Empty: len(m.Placements) == 0 && len(m.Outbox) == 0, IdleS: b.now.Sub(m.IdleSince).Seconds(),
		GPUIdleS: b.now.Sub(m.GPUIdleSince).Seconds()}
	sm.Booting = !m.Up && !m.Deprovisioning && b.now.Sub(m.ProvisionedAt) < seconds(tuning.BootSlow*t.BootS)
	if m.Up && !sm.Schedulable && !m.Deprovisioning && m.PreemptionAt.IsZero() {
		b.unsettled++
	}
	if !m.Deprovisioning {
		b.slots[t.Capacity.GPUs > 0]++
		b.zones = max(b.zones, len(t.Zones))
	}
	b.addRunning(&sm, m, t)
	sm.Images = m.Images()
	b.snap.Machines = append(b.snap.Machines, sm)
	b.machines = append(b.machines, m)
}

// addRunning takes what is on a machine off its room, and sums it up by jobs.
func (b *snapshotter) addRunning(sm *scheduler.Machine, m *cluster.Machine, t *scheduler.MachineType) {
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

func (b *snapshotter) addPlacement(r *scheduler.RunningTasks, p *cluster.Placement, j *scheduler.Job) {
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

// markOverdue marks the jobs that have waited longer than any may.
func (b *snapshotter) markOverdue() {
	for i, j := range b.jobs {
		if j.begun() || len(j.waitsFor) > 0 {
			continue
		}
		sj := &b.snap.Jobs[i]
		age := b.now.Sub(j.readyAt).Seconds()
		sj.StarvedS = max(0, age-mayWait(j, sj.EstimateS, b.slots[sj.Request.GPUs > 0], b.zones))
		sj.MaxWaitExceeded = age > tuning.MaxStartWaitS
	}
}

// addClaims adds the machines that were asked for without an answer yet: their room
// counts as coming.
func (b *snapshotter) addClaims() {
	for _, cl := range b.claims {
		typ, ok := b.typeIdx[cl.Type]
		if !ok || cl.settled {
			continue
		}
		for range cl.Count {
			b.snap.Machines = append(b.snap.Machines, scheduler.Machine{Type: typ, Zone: cl.Zone, Spot: cl.Spot, Free: b.snap.Types[typ].Capacity, Booting: true})
			b.machines = append(b.machines, nil)
		}
	}
}

func (b *snapshotter) addRefused() {
	for o, r := range b.refused {
		if typ, ok := b.typeIdx[o.typ]; ok && b.now.Before(r.until) {
			b.snap.ExhaustedPools[scheduler.CapacityPool{Type: typ, Zone: o.zone, Spot: o.spot}] = true
		}
	}
}
