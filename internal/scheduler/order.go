package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// Order returns the indices of the jobs in the order in which they are scheduled:
// production first, then starved jobs (see promoteStarved), then jobs within their team's
// guaranteed quota, then by priority, with work that needs GPUs before other work of the
// same priority. Jobs that are equal in all of this form a class. Within a class the
// earliest deadline goes first, but jobs that cannot all be in time are reordered by
// orderByFeasibility.
func Order(snapshot *Snapshot) []int {
	o := newOrdering(snapshot)
	order := make([]int, len(snapshot.Jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, o.compare)
	o.postponeInfeasible(order)
	return order
}

// ordering holds what the comparison of two jobs depends on.
type ordering struct {
	snapshot    *Snapshot
	provisioned provisionedCapacity
	promoted    []bool // by job: starved, and within the capacity share of starved jobs
}

func newOrdering(snapshot *Snapshot) *ordering {
	provisioned := provisionedCapacityOf(snapshot)
	return &ordering{snapshot: snapshot, provisioned: provisioned, promoted: promoteStarved(snapshot, provisioned)}
}

// compareClasses orders two jobs by their classes; 0 means that they are in the same
// class.
func (o *ordering) compareClasses(a, b int) int {
	x, y := &o.snapshot.Jobs[a], &o.snapshot.Jobs[b]
	return cmp.Or(
		compareTrueFirst(x.isProduction(), y.isProduction()),
		compareTrueFirst(o.promoted[a], o.promoted[b]),
		compareTrueFirst(x.WithinGuarantee, y.WithinGuarantee),
		cmp.Compare(x.Priority, y.Priority),
		compareTrueFirst(x.needsGPUs(), y.needsGPUs()))
}

// compare orders two jobs before infeasible ones are postponed. Promoted jobs are ordered
// by compareStarved, regardless of their class; production jobs are never promoted.
func (o *ordering) compare(a, b int) int {
	x, y := &o.snapshot.Jobs[a], &o.snapshot.Jobs[b]
	if o.promoted[a] && o.promoted[b] {
		return compareStarved(x, y)
	}
	return cmp.Or(o.compareClasses(a, b), cmp.Compare(x.DeadlineS, y.DeadlineS), cmp.Compare(x.ID, y.ID))
}

// postponeInfeasible reorders each class by feasibility. The load of all earlier classes
// counts, separately for machines with and without GPUs. Promoted jobs keep their order:
// they were promoted because of their wait, whether or not they can be in time.
func (o *ordering) postponeInfeasible(order []int) {
	loadS, gpuLoadS := 0.0, 0.0
	for first := 0; first < len(order); {
		end := o.endOfClass(order, first)
		class := order[first:end]
		load, loadOf := &loadS, o.loadOnCores
		if o.snapshot.Jobs[class[0]].needsGPUs() {
			load, loadOf = &gpuLoadS, o.loadOnGPUs
		}
		if o.promoted[class[0]] {
			*load = addLoads(o.snapshot.Jobs, class, *load, loadOf)
		} else {
			*load = orderByFeasibility(o.snapshot.Jobs, class, *load, loadOf)
		}
		first = end
	}
}

// endOfClass returns the index after the last job of the class that begins at first.
func (o *ordering) endOfClass(order []int, first int) int {
	end := first + 1
	for end < len(order) && o.compareClasses(order[first], order[end]) == 0 {
		end++
	}
	return end
}

// loadOnCores returns how long all provisioned cores together take for a job, in seconds.
func (o *ordering) loadOnCores(job *Job) float64 {
	return job.remainingWork(job.Request.Cores) / math.Max(o.provisioned.cores, 1)
}

// loadOnGPUs returns how long all provisioned GPUs together take for a job, in seconds.
func (o *ordering) loadOnGPUs(job *Job) float64 {
	return job.remainingWork(job.Request.GPUs) / math.Max(o.provisioned.gpus, 1)
}

// provisionedCapacity is the total capacity of the machines that are up or booting: GPUs,
// and the cores of machines without GPUs. Cores of machines with GPUs do not count, since
// other work gets only those of them that GPU work leaves unused.
type provisionedCapacity struct{ cores, gpus float64 }

func provisionedCapacityOf(snapshot *Snapshot) provisionedCapacity {
	var total provisionedCapacity
	for i := range snapshot.Machines {
		machine := &snapshot.Machines[i]
		if !machine.schedulableOrBooting() && len(machine.Tasks) == 0 {
			continue
		}
		capacity := snapshot.typeOf(machine).Capacity
		total.gpus += capacity.GPUs
		if capacity.GPUs == 0 {
			total.cores += capacity.Cores
		}
	}
	return total
}

// remainingWork returns the work of the job that is left, in units of the request times
// seconds. Running tasks count as half done.
func (j *Job) remainingWork(request float64) float64 {
	return (float64(j.Waiting) + float64(j.Running)/2) * j.EstimateS * request
}

func compareTrueFirst(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	}
	return 1
}
