package leader

import (
	"math"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// estimator corrects owners' run-time estimates by the class's recent average
// of actual over estimated time (PAPER, "recent average runtime"). With fewer
// than two completed tasks the owner's value stands, as in PAPER.
type estimator struct {
	off     bool
	classes map[string]*classRuns
}

type classRuns struct {
	n     int
	ratio float64
}

func (e *estimator) observe(spec *protocol.Job, took float64) {
	if spec.EstimateS <= 0 || took <= 0 {
		return
	}
	c := e.classes[spec.Class]
	if c == nil {
		c = &classRuns{}
		e.classes[spec.Class] = c
	}
	w := math.Max(tuning.EstimatorWeight, 1/float64(c.n+1))
	c.ratio += w * (took/spec.EstimateS - c.ratio)
	c.n++
}

func (e *estimator) estimate(spec *protocol.Job) float64 {
	if c := e.classes[spec.Class]; !e.off && c != nil && c.n >= tuning.EstimatorMin {
		return spec.EstimateS * c.ratio
	}
	return spec.EstimateS
}
