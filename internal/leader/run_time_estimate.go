package leader

import (
	"math"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// runTimeEstimator corrects the owners' run-time estimates by the recent average of
// actual over estimated time of the job's class (the paper's "recent average
// runtime"). With fewer than two completed tasks the owner's value stands, as there.
type runTimeEstimator struct {
	ownersOnly bool // the operators' setting "user": no correction
	classes    map[string]*classRuns
}

// classRuns is the average of a class.
type classRuns struct {
	completed int
	ratio     float64 // of actual over estimated run times
}

func newRunTimeEstimator(setting string) runTimeEstimator {
	return runTimeEstimator{ownersOnly: setting == "user", classes: map[string]*classRuns{}}
}

// observe takes in the run time of a completed task.
func (e *runTimeEstimator) observe(job *protocol.Job, tookS float64) {
	if job.EstimateS <= 0 || tookS <= 0 {
		return
	}
	runs := e.classes[job.Class]
	if runs == nil {
		runs = &classRuns{}
		e.classes[job.Class] = runs
	}
	weight := math.Max(tuning.EstimatorWeight, 1/float64(runs.completed+1))
	runs.ratio += weight * (tookS/job.EstimateS - runs.ratio)
	runs.completed++
}

// estimate returns the run time that is expected of a task of a job, in seconds.
func (e *runTimeEstimator) estimate(job *protocol.Job) float64 {
	runs := e.classes[job.Class]
	if e.ownersOnly || runs == nil || runs.completed < tuning.EstimatorMin {
		return job.EstimateS
	}
	return job.EstimateS * runs.ratio
}
