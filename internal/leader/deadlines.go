package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"marblehaven/internal/config"
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
	if job.spec.DeadlineS > 0 {
		deadlines = append(deadlines, jobDeadline{job.ownDeadlineS(1), false})
	}
	for i := range l.Config.Deployment.Objectives {
		objective := &l.Config.Deployment.Objectives[i]
		if deadline, applies := job.deadlineByObjective(objective, estimateS, guaranteed); applies {
			deadlines = append(deadlines, deadline)
		}
	}
	return deadlines
}

// ownDeadlineS is a multiple of the job's own deadline. That counts from the submission,
// however long the job has waited for others.
func (j *jobState) ownDeadlineS(times float64) float64 {
	waitedS := j.readyAt.Sub(j.acceptedAt).Seconds()
	return times*j.spec.DeadlineS - waitedS
}

// deadlineByObjective is what an objective asks for the job; applies is false if that is
// nothing.
func (j *jobState) deadlineByObjective(objective *config.Objective, estimateS float64, guaranteed bool) (deadline jobDeadline, applies bool) {
	ofClass := objective.Class == j.spec.Class
	notBegun := len(j.placements) == 0
	switch objective.Kind {
	case config.ObjectiveDeadline:
		applies = ofClass && j.spec.DeadlineS > 0 && objective.Times > 1
		return jobDeadline{j.ownDeadlineS(objective.Times), false}, applies
	case config.ObjectiveFinished:
		return jobDeadline{objective.WithinS, false}, ofClass && objective.WithinS > 0
	case config.ObjectiveWait:
		return jobDeadline{objective.WithinS + estimateS, true}, ofClass && notBegun && objective.WithinS > 0
	case config.ObjectiveGuarantee:
		return jobDeadline{objective.WithinS + estimateS, false}, guaranteed && notBegun && objective.WithinS > 0
	}
	return jobDeadline{}, false
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
