package scheduler

import (
	"strings"

	"marblehaven/internal/protocol"
)

// taskKind is what the search for room depends on. Only kinds without
// conditions on zones and numbers are remembered.
type taskKind struct {
	request  Resources
	types    string
	spot     bool
	priority protocol.PriorityLevel
	service  bool
	target   int
	image    string
}

func (p *planner) taskKind(job *Job, target int, unconditional bool) (taskKind, bool) {
	spec := job.Spec
	if spec.OneZone || spec.Spread || spec.Zone != "" || !unconditional {
		return taskKind{}, false
	}
	kind := taskKind{request: job.Request, types: strings.Join(spec.MachineTypes, " "), spot: spec.Spot, priority: job.Priority, service: spec.Kind == protocol.KindService, target: target}
	if target == targetCached || target == targetReady {
		kind.image = spec.Image // a machine takes only so many images at once
	}
	return kind, true
}
