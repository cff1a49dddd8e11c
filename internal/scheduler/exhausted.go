package scheduler

import (
	"strings"

	"marblehaven/internal/protocol"
)

// taskKind is all that a search for capacity depends on. Tasks of one kind are alike:
// where one found nothing, the next finds nothing either.
type taskKind struct {
	request      Resources
	machineTypes string
	spot         bool
	priority     protocol.PriorityLevel
	service      bool
	target       placementTarget
	image        string
}

// exhaustedKinds remembers the kinds of tasks for which no capacity was left. Capacity
// only shrinks within a plan, so searches for the same kind can be left out.
type exhaustedKinds map[taskKind]bool

// contains tells whether a search for tasks of the job is known to find nothing.
func (e exhaustedKinds) contains(job *pendingJob, target placementTarget) bool {
	return dependsOnlyOnKind(job, target) && e[kindOf(job, target)]
}

// add remembers that a search for tasks of the job found too little.
func (e exhaustedKinds) add(job *pendingJob, target placementTarget) {
	if dependsOnlyOnKind(job, target) {
		e[kindOf(job, target)] = true
	}
}

// dependsOnlyOnKind tells whether the search depends on nothing but the kind. Conditions on
// zones make it depend on where the job's other tasks are, and a gang finds nothing
// where its tasks have no place together. Preemption is for single tasks of gangs only.
func dependsOnlyOnKind(job *pendingJob, target placementTarget) bool {
	if job.isGang() && target != targetPreempted {
		return false
	}
	return !job.Spec.OneZone && !job.Spec.Spread && job.Spec.Zone == ""
}

func kindOf(job *pendingJob, target placementTarget) taskKind {
	kind := taskKind{
		request:      job.Request,
		machineTypes: strings.Join(job.Spec.MachineTypes, " "),
		spot:         job.Spec.Spot,
		priority:     job.Priority,
		service:      job.Spec.Kind == protocol.KindService,
		target:       target,
	}
	if target == targetCached || target == targetReady {
		kind.image = job.Spec.Image // a machine fetches only so many images at once
	}
	return kind
}
