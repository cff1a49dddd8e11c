package scheduler

import (
	"math"

	"marblehaven/internal/protocol"
)

// epsilon absorbs rounding errors in sums and quotients of resources and costs.
const epsilon = 1e-9

// Resources is an amount of machine resources.
type Resources struct{ Cores, GPUs, MemGB float64 }

// RequestOf returns the resources that one task of the job requests.
func RequestOf(job *protocol.Job) Resources { return Resources{job.Cores, job.GPUs, job.MemGB} }

// Minus returns the amount less n times r. A negative n adds r instead.
func (a Resources) Minus(r Resources, n int) Resources {
	count := float64(n)
	return Resources{a.Cores - count*r.Cores, a.GPUs - count*r.GPUs, a.MemGB - count*r.MemGB}
}

// CapacityFor returns how many times the request fits into the amount.
func (a Resources) CapacityFor(request Resources) int {
	return max(0, min(
		timesWithin(a.Cores, request.Cores),
		timesWithin(a.GPUs, request.GPUs),
		timesWithin(a.MemGB, request.MemGB)))
}

// fits reports whether the request fits into the amount at least once.
func (a Resources) fits(request Resources) bool { return a.CapacityFor(request) > 0 }

// covers reports whether the amount is at least as large as the other in each resource.
func (a Resources) covers(other Resources) bool {
	return a.Cores >= other.Cores-epsilon && a.GPUs >= other.GPUs-epsilon && a.MemGB >= other.MemGB-epsilon
}

// leastOfEach returns the smaller of the two amounts for each resource.
func (a Resources) leastOfEach(other Resources) Resources {
	return Resources{math.Min(a.Cores, other.Cores), math.Min(a.GPUs, other.GPUs), math.Min(a.MemGB, other.MemGB)}
}

// timesWithin returns how many times the request fits into an amount of one resource. A
// resource that is not requested sets no limit.
func timesWithin(amount, request float64) int {
	if request <= 0 {
		return math.MaxInt32
	}
	return min(math.MaxInt32, int(math.Floor(amount/request+epsilon)))
}
