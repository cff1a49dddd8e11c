package leader

import (
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
