package scheduler

import (
	"math"

	"marblehaven/internal/protocol"
)

const eps = 1e-9

// Resources is an amount of machine resources.
type Resources struct{ Cores, GPUs, MemGB float64 }

// Minus takes n times r away.
func (a Resources) Minus(r Resources, n int) Resources {
	f := float64(n)
	return Resources{a.Cores - f*r.Cores, a.GPUs - f*r.GPUs, a.MemGB - f*r.MemGB}
}

// CapacityFor is how often need fits into a.
func (a Resources) CapacityFor(need Resources) int {
	n := math.MaxInt32
	for _, p := range [][2]float64{{a.Cores, need.Cores}, {a.GPUs, need.GPUs}, {a.MemGB, need.MemGB}} {
		if p[1] > 0 {
			n = min(n, int(math.Floor(p[0]/p[1]+eps)))
		}
	}
	return max(0, n)
}

// RequestOf is what a task takes.
func RequestOf(job *protocol.Job) Resources { return Resources{job.Cores, job.GPUs, job.MemGB} }
