package leader

import (
	"math"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// runTimeEstimator corrects the owners' run-time estimates by the recent average of
// actual over estimated time of the job's class (the paper's "recent average runtime").
// With fewer than two completed tasks of the class the owner's estimate is used, as in
// the paper.
type runTimeEstimator struct {
	ownerEstimatesOnly bool // the operator setting "user": estimates are not corrected
	classes            map[string]*classAverage
}

// classAverage is the moving average of a class.
type classAverage struct {
	completed int
	ratio     float64 // of actual over estimated run times
}

func newRunTimeEstimator(setting string) runTimeEstimator {
	return runTimeEstimator{ownerEstimatesOnly: setting == "user", classes: map[string]*classAverage{}}
}

// observe adds the run time of a completed task to the average of its class.
func (e *runTimeEstimator) observe(job *protocol.Job, tookS float64) {
	if job.EstimateS <= 0 || tookS <= 0 {
		return
	}
	average := e.classes[job.Class]
	if average == nil {
		average = &classAverage{}
		e.classes[job.Class] = average
	}
	weight := math.Max(tuning.EstimatorWeight, 1/float64(average.completed+1))
	average.ratio += weight * (tookS/job.EstimateS - average.ratio)
	average.completed++
}

// estimate returns the expected run time of a task of the job, in seconds.
func (e *runTimeEstimator) estimate(job *protocol.Job) float64 {
	average := e.classes[job.Class]
	if e.ownerEstimatesOnly || average == nil || average.completed < tuning.EstimatorMin {
		return job.EstimateS
	}
	return job.EstimateS * average.ratio
}
