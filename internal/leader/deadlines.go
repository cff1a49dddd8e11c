package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/tuning"
)

// jobDeadline is a time by which a job should be complete, in seconds from when the job
// could start (readyAt). countsTasks is set if the deadline comes from an objective on
// waiting times (config.ObjectiveWait), which counts tasks rather than jobs.
type jobDeadline struct {
	seconds     float64
	countsTasks bool
}

// deadlineFor returns the deadline that the job is held to, D_k, in seconds from now. If
// it comes from an objective on starts, it is the latest time for the first start plus
// the estimate. inheritedS is the time in seconds until the jobs that depend on this one
// need it to be done, +Inf if there are none.
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
	// The earliest deadline that can still be met counts, or the last one for a job that
	// can meet none.
	for _, deadline := range deadlines {
		if deadline.seconds-ageS >= estimateS {
			return deadline.seconds - ageS, deadline.countsTasks
		}
	}
	last := deadlines[len(deadlines)-1]
	return last.seconds - ageS, last.countsTasks
}

// deadlines lists the job's own deadline and those that the objectives set for it.
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

// ownDeadlineS returns the given multiple of the job's own deadline, in seconds from
// readyAt. The own deadline counts from the submission, however long the job has waited
// for its dependencies.
func (j *jobState) ownDeadlineS(multiple float64) float64 {
	waitedS := j.readyAt.Sub(j.acceptedAt).Seconds()
	return multiple*j.spec.DeadlineS - waitedS
}

// deadlineByObjective returns the deadline that an objective sets for the job; applies is
// false if it sets none.
func (j *jobState) deadlineByObjective(objective *config.Objective, estimateS float64, guaranteed bool) (deadline jobDeadline, applies bool) {
	ofClass := objective.Class == j.spec.Class
	notBegun := len(j.placements) == 0
	switch objective.Kind {
	case config.ObjectiveDeadline:
		applies = ofClass && j.spec.DeadlineS > 0 && objective.DeadlineMultiple > 1
		return jobDeadline{j.ownDeadlineS(objective.DeadlineMultiple), false}, applies
	case config.ObjectiveFinished:
		return jobDeadline{objective.WithinS, false}, ofClass && objective.WithinS > 0
	case config.ObjectiveWait:
		return jobDeadline{objective.WithinS + estimateS, true}, ofClass && notBegun && objective.WithinS > 0
	case config.ObjectiveGuarantee:
		return jobDeadline{objective.WithinS + estimateS, false}, guaranteed && notBegun && objective.WithinS > 0
	}
	return jobDeadline{}, false
}

// starvationBoundS returns how long a job may wait for its first start, in seconds,
// before it is scheduled ahead of others, so that even the largest job starts in time.
// The bound is smaller for a gang: the machines for a gang become free one after another
// in a single zone, and other gangs wait for machines as well.
func starvationBoundS(job *jobState, estimateS, machines float64, zones int) float64 {
	gangS := 0.0
	if job.isGang() && job.spec.Tasks > 1 && machines > 0 {
		gangS = tuning.GangSlackFactor * estimateS * float64(job.spec.Tasks) * float64(zones) / machines
	}
	return max(tuning.StarvationMinS, tuning.MaxStartWaitS-tuning.StarvationMarginS-gangS)
}
