package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

// EndTroubles tells the checker that the test causes no more faults. From now on no job may be
// left waiting beside free capacity.
func (c *checker) EndTroubles() {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	c.faultsEnded = true
}

// maxWaitWithCapacity is how long a job may wait while a machine has capacity for it, as the
// operators require.
const maxWaitWithCapacity = 90 * time.Second

// checkWaiting guards that no job starves while a machine has capacity for it. It leaves out
// gangs, which need capacity for all their tasks at the same time.
func (c *checker) checkWaiting() {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	if !c.faultsEnded {
		return
	}
	for _, job := range c.env.jobs {
		if !job.accepted || job.spec.Kind == protocol.KindGang || !c.isStartable(job) || !c.hasCapacityFor(job) {
			job.waitingSince = time.Time{}
			continue
		}
		if job.waitingSince.IsZero() {
			job.waitingSince = time.Now()
		}
		if waited := time.Since(job.waitingSince); waited > maxWaitWithCapacity {
			c.addViolation("left waiting: %s beside room for %v", job.spec.ID, waited)
			job.waitingSince = time.Now()
		}
	}
}

// hasCapacityFor tells whether a task of the job is not placed although its team's quota limits
// and a machine allow it.
func (c *checker) hasCapacityFor(job *userJob) bool {
	spec := &job.spec
	placed := c.sumPlacements(spec)
	if placed.jobTasks+len(job.finished) >= spec.Tasks {
		return false
	}
	for _, team := range c.env.Cfg.Teams {
		if team.Name == spec.Team && exceedsQuota(&team, placed.teamCores+spec.Cores, placed.teamGPUs+spec.GPUs) {
			return false
		}
	}
	for _, machine := range c.env.machines {
		if machine.isUsable() && machine.isAllowedFor(spec) && placed.allowsZone(spec, machine.zone) && machine.hasCapacityFor(spec) {
			return true
		}
	}
	return false
}

// isUsable tells whether the machine can take tasks: it is up, does not hang, and has no
// preemption notice.
func (m *machineAgent) isUsable() bool {
	return m.up && !m.hung && m.preemptionAt.IsZero()
}

// placementTotals sums up the tasks of a job and of its team that have not exited. Unlike
// otherTasks it includes those whose image is still being fetched.
type placementTotals struct {
	jobTasks            int
	jobZones            map[string]int // tasks of the job by zone
	teamCores, teamGPUs float64
}

// sumPlacements looks at the tasks of all machines once.
func (c *checker) sumPlacements(spec *protocol.Job) placementTotals {
	placed := placementTotals{jobZones: map[string]int{}}
	for _, machine := range c.env.machines {
		for _, task := range machine.tasks {
			if task.state == protocol.TaskExited {
				continue
			}
			if other := &c.env.jobs[task.jobID].spec; other.Team == spec.Team {
				placed.teamCores += other.Cores
				placed.teamGPUs += other.GPUs
			}
			if task.jobID == spec.ID {
				placed.jobTasks++
				placed.jobZones[machine.zone]++
			}
		}
	}
	return placed
}

// allowsZone tells whether one more task of the job may be in a zone.
func (p *placementTotals) allowsZone(spec *protocol.Job, zone string) bool {
	if spec.OneZone && len(p.jobZones) > 0 && p.jobZones[zone] == 0 {
		return false
	}
	return !spec.Spread || p.jobZones[zone]+1 <= maxTasksInZone(spec)
}
