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

func (p *planner) taskKind(job *Job, kind int, plain bool) (taskKind, bool) {
	spec := job.Spec
	if spec.OneZone || spec.Spread || spec.Zone != "" || !plain {
		return taskKind{}, false
	}
	k := taskKind{request: job.Request, types: strings.Join(spec.MachineTypes, " "), spot: spec.Spot, priority: job.Priority, service: spec.Kind == protocol.KindService, target: kind}
	if kind == targetCached || kind == targetReady {
		k.image = spec.Image // a machine takes only so many images at once
	}
	return k, true
}
