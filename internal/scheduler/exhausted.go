package scheduler

import (
	"strings"

	"marblehaven/internal/protocol"
)

// taskKind holds everything that a search for capacity depends on. If a search for one
// task finds nothing, a search for another task of the same kind finds nothing either.
type taskKind struct {
	request      Resources
	machineTypes string
	spot         bool
	priority     protocol.PriorityLevel
	service      bool
	target       placementTarget
	image        string
}

// exhaustedKinds is the set of task kinds for which no capacity was left. The capacity of
// provisioned machines only shrinks while a plan is made, so further searches for these
// kinds are skipped. If a kind is in the set for targetBooting, its tasks are also not
// placed on machines that the plan requests afterwards.
type exhaustedKinds map[taskKind]bool

// contains reports whether an earlier search has shown that the target has no capacity
// for tasks of the job.
func (e exhaustedKinds) contains(job *pendingJob, target placementTarget) bool {
	return dependsOnlyOnKind(job, target) && e[kindOf(job, target)]
}

// add records that a search found too little capacity for tasks of the job.
func (e exhaustedKinds) add(job *pendingJob, target placementTarget) {
	if dependsOnlyOnKind(job, target) {
		e[kindOf(job, target)] = true
	}
}

// dependsOnlyOnKind reports whether the result of a search depends on nothing but the
// task kind. With conditions on zones it also depends on where the job's other tasks are,
// and a search for a gang fails if its tasks do not all fit. Preemption for a gang is not
// affected: it is attempted only for gangs of a single task.
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
		kind.image = job.Spec.Image // a machine with many pending fetches takes no further image
	}
	return kind
}
