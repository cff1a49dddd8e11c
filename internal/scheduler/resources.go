package scheduler

import (
	"math"

	"marblehaven/internal/protocol"
)

const epsilon = 1e-9

// Resources is an amount of machine resources.
type Resources struct{ Cores, GPUs, MemGB float64 }

// Minus takes n times r away.
func (a Resources) Minus(r Resources, n int) Resources {
	count := float64(n)
	return Resources{a.Cores - count*r.Cores, a.GPUs - count*r.GPUs, a.MemGB - count*r.MemGB}
}

// CapacityFor is how often need fits into a.
func (a Resources) CapacityFor(request Resources) int {
	n := math.MaxInt32
	for _, pair := range [][2]float64{{a.Cores, request.Cores}, {a.GPUs, request.GPUs}, {a.MemGB, request.MemGB}} {
		if pair[1] > 0 {
			n = min(n, int(math.Floor(pair[0]/pair[1]+epsilon)))
		}
	}
	return max(0, n)
}

// RequestOf is what a task takes.
func RequestOf(job *protocol.Job) Resources { return Resources{job.Cores, job.GPUs, job.MemGB} }
