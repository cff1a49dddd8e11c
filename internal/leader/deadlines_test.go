package leader

import (
	"math"
	"testing"

	"marblehaven/internal/config"
)

// A job's own deadline counts from the submission. The deadline that an objective sets
// counts from when the last dependency of the job was done. A job that can no longer meet
// its own deadline is held to the multiple of it that an objective names, and after that
// to the next later deadline.
func TestDeadlineFor(t *testing.T) {
	leader, now := newLoadedLeader(0, 1)
	leader.Config.Deployment.Objectives = []config.Objective{{Kind: "deadline", Class: "c", DeadlineMultiple: 1}, {Kind: "deadline", Class: "c", DeadlineMultiple: 1.5},
		{Kind: "finished", Class: "c", WithinS: 500}, {Kind: "finished", Class: "other", WithinS: 1}}
	job := leader.jobs.open["req-000000"]
	job.spec.DeadlineS = 100
	none := math.Inf(1)
	for _, tc := range []struct{ ageS, readyAgeS, estimateS, inheritedS, wantS float64 }{
		{10, 10, 20, none, 90},    // in time
		{90, 90, 20, none, 60},    // held to 1.5 times
		{140, 140, 20, none, 360}, // held to the objective on completion
		{90, 5, 20, none, 60},     // ready late, the own deadline is unchanged
		{140, 5, 20, none, 495},   // the objective counts from readiness
		{10, 10, 20, 50, 50},      // needed earlier by a dependent
		{10, 10, 20, 15, 90},      // the need of the dependent cannot be met
		{900, 900, 20, none, -400},
	} {
		job.acceptedAt = now.Add(-seconds(tc.ageS))
		job.readyAt = now.Add(-seconds(tc.readyAgeS))
		if deadlineS, _ := leader.deadlineFor(job, tc.estimateS, tc.inheritedS, false, now); math.Abs(deadlineS-tc.wantS) > 1e-6 {
			t.Errorf("%+v: deadline in %v s", tc, deadlineS)
		}
	}
}
