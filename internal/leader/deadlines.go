package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"marblehaven/internal/tuning"
)

// jobDeadline is a time by which a job should be complete, in seconds from when it
// could begin. One that stands for an objective on the start counts tasks rather than
// jobs.
type jobDeadline struct {
	seconds     float64
	countsTasks bool
}

// deadlineFor is the time in seconds until D_k, the deadline that the job is held to,
// or until the latest moment for its first start plus the estimate, if an objective
// sets one. inheritedS is the time until the jobs that depend on this one need it.
func (l *Leader) deadlineFor(job *jobState, estimateS, inheritedS float64, guaranteed bool, now time.Time) (deadlineS float64, countsTasks bool) {
	ageS := now.Sub(job.readyAt).Seconds()
	deadlines := l.deadlines(job, estimateS, guaranteed)
	if !math.IsInf(inheritedS, 1) {
		deadlines = append(deadlines, jobDeadline{ageS + inheritedS, false})
	}
	if len(deadlines) == 0 {
		deadlines = append(deadlines, jobDeadline{l.Config.Operator.DeadlineFactor * estimateS, false})
	}
	slices.SortStableFunc(deadlines, func(a, b jobDeadline) int { return cmp.Compare(a.seconds, b.seconds) })
	// The earliest that can still be kept; a job that has missed all of them is held to
	// the last.
	for _, deadline := range deadlines {
		if deadline.seconds-ageS >= estimateS {
			return deadline.seconds - ageS, deadline.countsTasks
		}
	}
	last := deadlines[len(deadlines)-1]
	return last.seconds - ageS, last.countsTasks
}

// deadlines lists the job's own deadline and what the objectives ask for it.
func (l *Leader) deadlines(job *jobState, estimateS float64, guaranteed bool) []jobDeadline {
	var deadlines []jobDeadline
	hasDeadline := job.spec.DeadlineS > 0
	// It counts from the submission, however long the job has waited for others.
	waitedS := job.readyAt.Sub(job.acceptedAt).Seconds()
	if hasDeadline {
		deadlines = append(deadlines, jobDeadline{job.spec.DeadlineS - waitedS, false})
	}
	begun := len(job.placements) > 0
	for _, objective := range l.Config.Deployment.Objectives {
		ofClass := objective.Class == job.spec.Class
		switch {
		case objective.Kind == "deadline" && ofClass && hasDeadline && objective.Times > 1:
			deadlines = append(deadlines, jobDeadline{objective.Times*job.spec.DeadlineS - waitedS, false})
		case objective.WithinS <= 0:
		case objective.Kind == "finished" && ofClass:
			deadlines = append(deadlines, jobDeadline{objective.WithinS, false})
		case objective.Kind == "wait" && ofClass && !begun:
			deadlines = append(deadlines, jobDeadline{objective.WithinS + estimateS, true})
		case objective.Kind == "guarantee" && guaranteed && !begun:
			deadlines = append(deadlines, jobDeadline{objective.WithinS + estimateS, false})
		}
	}
	return deadlines
}

// starvationBoundS is how long a job may wait for its first start, in seconds, before
// it goes before others: early enough that even the largest begins in time. Capacity
// for a gang falls free in one zone, a machine after another, and other gangs gather
// theirs too.
func starvationBoundS(job *jobState, estimateS, machines float64, zones int) float64 {
	gangS := 0.0
	if job.isGang() && job.spec.Tasks > 1 && machines > 0 {
		gangS = tuning.GangSlackFactor * estimateS * float64(job.spec.Tasks) * float64(zones) / machines
	}
	return max(tuning.StarvationMinS, tuning.MaxStartWaitS-tuning.StarvationMarginS-gangS)
}
