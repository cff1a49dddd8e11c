package scheduler

import (
	"math"
	"slices"

	"marblehaven/internal/protocol"
)

// avoidsGPUMachines tells for a job whether it must keep off machines with GPUs: work
// without need of GPUs would keep dear machines from the work that needs them.
func avoidsGPUMachines(s *Snapshot, j *Job) bool {
	if j.Request.GPUs > 0 {
		return false
	}
	for i := range s.Types {
		if s.Types[i].Capacity.GPUs == 0 && TypeFits(&s.Types[i], j.Spec) {
			return true
		}
	}
	return false
}

// TypeFits tells whether a task of the job can run on an empty machine of the
// type in some zone that the job allows.
func TypeFits(t *MachineType, j *protocol.Job) bool {
	return (len(j.MachineTypes) == 0 || slices.Contains(j.MachineTypes, t.Name)) &&
		(j.Zone == "" || slices.Contains(t.Zones, j.Zone)) && t.Capacity.CapacityFor(RequestOf(j)) > 0
}

// ZoneCapacity is how many more tasks of the job may be in the zone.
func ZoneCapacity(d *protocol.Job, zoneLive map[string]int, zone string) int {
	if d.Zone != "" && d.Zone != zone {
		return 0
	}
	if d.OneZone {
		for z, n := range zoneLive {
			if n > 0 && z != zone {
				return 0
			}
		}
	}
	if d.Spread {
		// A task on a machine whose zone is not known yet, as after a takeover,
		// may be in any.
		return max(0, (d.Tasks+1)/2-zoneLive[zone]-zoneLive[""])
	}
	return d.Tasks
}

func bootTimeS(s *Snapshot, j *Job) float64 {
	best, boot := math.Inf(1), 0.0
	for i := range s.Types {
		t := &s.Types[i]
		if TypeFits(t, j.Spec) && t.Price < best {
			best, boot = t.Price, t.BootS+fetchTimeS(t, j.Spec)
		}
	}
	return boot
}

func fetchTimeS(t *MachineType, d *protocol.Job) float64 {
	if t.FetchGBps <= 0 {
		return 0
	}
	return d.ImageGB / t.FetchGBps
}

func (p *planner) allowed(m *Machine, d *protocol.Job) bool {
	return (len(d.MachineTypes) == 0 || slices.Contains(d.MachineTypes, p.snapshot.Types[m.Type].Name)) && (!m.Spot || d.Spot)
}

// eligible tells whether tasks of the job may be on the machine, where those it
// has are in the given zones and need a machine of their own.
func (p *planner) eligible(m *Machine, d *protocol.Job, zones map[string]int, keepOff bool) bool {
	return p.allowed(m, d) && ZoneCapacity(d, zones, m.Zone) > 0 && !(keepOff && p.snapshot.Types[m.Type].Capacity.GPUs > 0)
}

// capacityOn is how many tasks of the job the machine takes now. Work that does not
// need GPUs gets on a machine with GPUs what its GPU work leaves over; where
// no GPU is in use it gets all, if it ranks below the work with GPUs and can
// be stopped for it. Only work that ends by itself may go there, and none once
// the machine is to be given back: it must not keep a dear machine.
func (p *planner) capacityOn(m *Machine, j *Job, keepOff bool) int {
	t := &p.snapshot.Types[m.Type]
	if keepOff && t.Capacity.GPUs > 0 {
		switch {
		case j.Spec.Kind == protocol.KindService:
			return 0
		case p.runsGPUWork(m):
			if r := p.snapshot.GPURequest; r.GPUs > 0 && m.Free.CapacityFor(r) > 0 {
				return m.Free.Minus(r, 1).CapacityFor(j.Request)
			}
		case p.gpuWaits || j.Priority <= p.gpuPriority() || j.Spec.Kind == protocol.KindGang ||
			m.GPUIdleS >= p.snapshot.idleTimeout(m):
			return 0
		}
	}
	return m.Free.CapacityFor(j.Request)
}

// gpuPriority is the rank that work on an idle machine with GPUs must be below.
// As long as no work with GPUs has been seen, as after a takeover, only the
// lowest rank is certain to be stopped for it.
func (p *planner) gpuPriority() int {
	if p.snapshot.GPUPriority < 0 {
		return LowestPriority - 1
	}
	return p.snapshot.GPUPriority
}

// runsGPUWork tells whether work with GPUs is on the machine.
func (p *planner) runsGPUWork(m *Machine) bool {
	for _, r := range m.Tasks {
		if p.snapshot.Jobs[r.Job].Request.GPUs > 0 {
			return true
		}
	}
	return false
}
