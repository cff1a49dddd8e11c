package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// gpuReleaseTimes estimates when each machine is released: when its running tasks have
// ended, and then the waiting jobs for which estimateWaitS has already chosen the machine.
type gpuReleaseTimes struct {
	snapshot *Snapshot
	// releaseS holds the estimate for each machine, in seconds from now. It is computed
	// at first use, since most plans do not need it.
	releaseS []float64
}

// estimateWaitS returns the estimated time until provisioned machines have capacity for
// the tasks of a job with GPUs, under the zone constraint. If the job needs one zone, the
// zone with the shortest wait counts. The chosen machines are marked as taken for the run
// time of the job, so that the next job does not count on them too.
func (g *gpuReleaseTimes) estimateWaitS(job *Job, tasks int, zone zoneConstraint) float64 {
	if g.releaseS == nil {
		g.releaseS = lastReleases(g.snapshot.Machines)
	}
	var chosen []int
	shortestS := math.Inf(1)
	byZone := g.machinesByZone(job, zone)
	for _, key := range slices.Sorted(maps.Keys(byZone)) {
		machines, waitS := g.firstReleased(byZone[key], job, tasks)
		if waitS < shortestS {
			chosen, shortestS = machines, waitS
		}
	}
	for _, i := range chosen {
		g.releaseS[i] += job.EstimateS
	}
	return shortestS
}

// lastReleases returns when the last task of each machine is likely to end, in seconds
// from now.
func lastReleases(machines []Machine) []float64 {
	releaseS := make([]float64, len(machines))
	for i := range machines {
		for _, running := range machines[i].Tasks {
			releaseS[i] = math.Max(releaseS[i], running.RemainingS)
		}
	}
	return releaseS
}

// machinesByZone groups the machines that the job may use once they are empty. If the job
// does not need a single zone, all of them are in one group, under anyZone.
func (g *gpuReleaseTimes) machinesByZone(job *Job, zone zoneConstraint) map[zoneConstraint][]int {
	byZone := map[zoneConstraint][]int{}
	for i := range g.snapshot.Machines {
		if machine := &g.snapshot.Machines[i]; zone.allows(machine.Zone) && g.usableWhenEmpty(machine, job) {
			key := zoneConstraintFor(job, machine.Zone)
			byZone[key] = append(byZone[key], i)
		}
	}
	return byZone
}

// usableWhenEmpty reports whether the machine is up and can take tasks of the job once it
// is empty. A machine that has tasks is up even if it may be given no new ones now.
func (g *gpuReleaseTimes) usableWhenEmpty(machine *Machine, job *Job) bool {
	isUp := machine.Schedulable || len(machine.Tasks) > 0
	return isUp && g.snapshot.typeOf(machine).Capacity.fits(job.Request) && g.snapshot.allowsMachine(job.Spec, machine)
}

// firstReleased chooses machines in the order of their release until the tasks fit on
// them. It returns the chosen machines and the time until the last of them is released.
// If all machines together are too few, firstReleased returns none of them and +Inf.
func (g *gpuReleaseTimes) firstReleased(machines []int, job *Job, tasks int) (used []int, waitS float64) {
	slices.SortStableFunc(machines, func(a, b int) int { return cmp.Compare(g.releaseS[a], g.releaseS[b]) })
	missing := tasks
	for position, i := range machines {
		missing -= g.snapshot.typeOf(&g.snapshot.Machines[i]).Capacity.CapacityFor(job.Request)
		if missing <= 0 {
			return machines[:position+1], g.releaseS[i]
		}
	}
	return nil, math.Inf(1)
}
