package scheduler

import (
	"math"

	"marblehaven/internal/protocol"
)

// epsilon absorbs rounding errors in sums and quotients of resources and costs.
const epsilon = 1e-9

// Resources is an amount of machine resources.
type Resources struct{ Cores, GPUs, MemGB float64 }

// RequestOf is what one task of the job takes.
func RequestOf(job *protocol.Job) Resources { return Resources{job.Cores, job.GPUs, job.MemGB} }

// Minus takes n times the request away. A negative n gives it back.
func (a Resources) Minus(r Resources, n int) Resources {
	count := float64(n)
	return Resources{a.Cores - count*r.Cores, a.GPUs - count*r.GPUs, a.MemGB - count*r.MemGB}
}

// CapacityFor is how many times the request fits into the amount.
func (a Resources) CapacityFor(request Resources) int {
	return max(0, min(
		timesWithin(a.Cores, request.Cores),
		timesWithin(a.GPUs, request.GPUs),
		timesWithin(a.MemGB, request.MemGB)))
}

// fits tells whether the request fits into the amount at least once.
func (a Resources) fits(request Resources) bool { return a.CapacityFor(request) > 0 }

// covers tells whether the amount has as much as the other of each resource.
func (a Resources) covers(other Resources) bool {
	return a.Cores >= other.Cores-epsilon && a.GPUs >= other.GPUs-epsilon && a.MemGB >= other.MemGB-epsilon
}

// leastOfEach is the smaller of the two amounts for each resource.
func (a Resources) leastOfEach(other Resources) Resources {
	return Resources{math.Min(a.Cores, other.Cores), math.Min(a.GPUs, other.GPUs), math.Min(a.MemGB, other.MemGB)}
}

// timesWithin is how many times the request fits into an amount of one resource.
// What is not requested is never short.
func timesWithin(amount, request float64) int {
	if request <= 0 {
		return math.MaxInt32
	}
	return min(math.MaxInt32, int(math.Floor(amount/request+epsilon)))
}
