package leader

import (
	"math"
	"testing"

	"marblehaven/internal/config"
)

// The deadline counts from the submission, what objectives ask from when the last job
// that the job depends on was done. A job that can no longer keep its deadline is held to the
// multiple of its deadline that an objective names, and then to nothing earlier.
func TestDeadlineFor(t *testing.T) {
	leader, now := newLoadedLeader(0, 1)
	leader.Config.Deployment.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1}, {Kind: "deadline", Class: "c", Times: 1.5},
		{Kind: "finished", Class: "c", WithinS: 500}, {Kind: "finished", Class: "other", WithinS: 1}}
	job := leader.jobs.open["req-000000"]
	job.spec.DeadlineS = 100
	none := math.Inf(1)
	for _, w := range []struct{ age, ready, est, inherited, due float64 }{
		{10, 10, 20, none, 90},    // in time
		{90, 90, 20, none, 60},    // held to 1.5 times
		{140, 140, 20, none, 360}, // held to the objective
		{90, 5, 20, none, 60},     // ready late, due as before
		{140, 5, 20, none, 495},   // the objective counts from then
		{10, 10, 20, 50, 50},      // needed earlier by a dependent
		{10, 10, 20, 15, 90},      // which cannot be kept
		{900, 900, 20, none, -400},
	} {
		job.acceptedAt = now.Add(-seconds(w.age))
		job.readyAt = now.Add(-seconds(w.ready))
		if due, _ := leader.deadlineFor(job, w.est, w.inherited, false, now); math.Abs(due-w.due) > 1e-6 {
			t.Errorf("%+v: due in %v", w, due)
		}
	}
}
