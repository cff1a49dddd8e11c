package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

// EndFaults declares that the test causes no more faults. From then on the checker reports
// jobs that wait for too long although there is capacity for them.
func (c *checker) EndFaults() {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	c.faultsEnded = true
}

// maxWaitWithCapacity is how long a job may wait while a machine has capacity for it, as the
// operators require.
const maxWaitWithCapacity = 90 * time.Second

// checkWaiting checks that no job waits for longer than maxWaitWithCapacity while a machine has
// capacity for it. It skips gangs, which need capacity for all their tasks at the same time.
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

// hasCapacityFor reports whether a task of the job is not placed although its team's quota and
// the free capacity of a machine allow it.
func (c *checker) hasCapacityFor(job *userJob) bool {
	spec := &job.spec
	placed := c.sumPlacements(spec)
	if !c.awaitsStarts(job, placed.jobTasks) {
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

// awaitsStarts reports whether a job with a number of placed tasks has others that are to be
// started. If all tasks are done, none is placed and the job is not closed, a completion was
// lost, and its task must be started again.
func (c *checker) awaitsStarts(job *userJob, placedTasks int) bool {
	if job.complete() {
		return placedTasks == 0 && !c.isClosed(job)
	}
	return placedTasks+len(job.finished) < job.spec.Tasks
}

// isUsable reports whether the machine can take tasks: it is up, does not hang, and has no
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

// sumPlacements sums up the tasks of all machines for one job in a single pass.
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

// allowsZone reports whether one more task of the job may be placed in a zone.
func (p *placementTotals) allowsZone(spec *protocol.Job, zone string) bool {
	if spec.OneZone && len(p.jobZones) > 0 && p.jobZones[zone] == 0 {
		return false
	}
	return !spec.Spread || p.jobZones[zone]+1 <= maxTasksInZone(spec)
}
