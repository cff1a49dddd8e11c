package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

// EndTroubles says that all troubles are over: from now on no job may be left waiting.
func (c *checker) EndTroubles() {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	c.faultsEnded = true
}

// maxWaitWithCapacity is how long a job may wait beside a machine that fits and has room,
// as the operators say.
const maxWaitWithCapacity = 90 * time.Second

// checkWaiting judges the jobs that wait although there is room. Gangs, for which
// much must be free at once, are not among them.
func (c *checker) checkWaiting() {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	if !c.faultsEnded {
		return
	}
	for _, job := range c.env.jobs {
		if !job.accepted || job.job.Kind == protocol.KindGang || !c.isStartable(job) || !c.hasCapacityFor(job) {
			job.waitingSince = time.Time{}
			continue
		}
		if job.waitingSince.IsZero() {
			job.waitingSince = time.Now()
		}
		if waited := time.Since(job.waitingSince); waited > maxWaitWithCapacity {
			c.addViolation("left waiting: %s beside room for %v", job.job.ID, waited)
			job.waitingSince = time.Now()
		}
	}
}

// hasCapacityFor tells whether a task of a job waits while a machine could take it.
func (c *checker) hasCapacityFor(job *userJob) bool {
	spec := &job.job
	placed := c.surveyPlaced(spec)
	if placed.jobTasks+len(job.finished) >= spec.Tasks {
		return false
	}
	for _, team := range c.env.Cfg.Teams {
		if team.Name == spec.Team && exceedsQuota(&team, placed.teamCores+spec.Cores, placed.teamGPUs+spec.GPUs) {
			return false
		}
	}
	for _, machine := range c.env.machines {
		if machine.isUsable() && machine.isAllowedFor(spec) && placed.allowZone(spec, machine.zone) && machine.hasCapacityFor(spec) {
			return true
		}
	}
	return false
}

// isUsable tells whether nothing keeps a machine from taking tasks.
func (m *machineAgent) isUsable() bool {
	return m.up && !m.hung && m.preemptionAt.IsZero()
}

// placedTasks sums up what machines have of a job and of its team, with tasks whose
// image is still fetched.
type placedTasks struct {
	jobTasks            int
	jobZones            map[string]int // tasks of the job by zone
	teamCores, teamGPUs float64
}

func (c *checker) surveyPlaced(spec *protocol.Job) placedTasks {
	placed := placedTasks{jobZones: map[string]int{}}
	for _, machine := range c.env.machines {
		for _, task := range machine.tasks {
			if task.state == protocol.TaskExited {
				continue
			}
			if other := &c.env.jobs[task.jobID].job; other.Team == spec.Team {
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

// allowZone tells whether one more task of the job may be in a zone.
func (p *placedTasks) allowZone(spec *protocol.Job, zone string) bool {
	if spec.OneZone && len(p.jobZones) > 0 && p.jobZones[zone] == 0 {
		return false
	}
	return !spec.Spread || p.jobZones[zone]+1 <= maxTasksInZone(spec)
}
