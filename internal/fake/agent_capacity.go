package fake

import (
	"slices"

	"marblehaven/internal/protocol"
)

// capacityTolerance is the rounding error that sums of cores, GPUs and memory may have.
const capacityTolerance = 1e-6

// hasCapacityFor reports whether a task of the job fits beside those that have not exited.
func (m *machineAgent) hasCapacityFor(spec *protocol.Job) bool {
	free := m.machineType
	for _, task := range m.tasks {
		if task.state == protocol.TaskExited {
			continue
		}
		placed := &m.env.jobs[task.jobID].spec
		free.Cores -= placed.Cores
		free.GPUs -= placed.GPUs
		free.MemGB -= placed.MemGB
	}
	return spec.Cores <= free.Cores+capacityTolerance &&
		spec.GPUs <= free.GPUs+capacityTolerance &&
		spec.MemGB <= free.MemGB+capacityTolerance
}

// isAllowedFor reports whether the job accepts the machine's type and zone, and accepts spot
// instances if the machine is one.
func (m *machineAgent) isAllowedFor(spec *protocol.Job) bool {
	if len(spec.MachineTypes) > 0 && !slices.Contains(spec.MachineTypes, m.machineType.Name) {
		return false
	}
	if spec.Zone != "" && spec.Zone != m.zone {
		return false
	}
	return !m.spot || spec.Spot
}
