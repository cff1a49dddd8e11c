package scheduler

import "math"

// chargeQuota counts started tasks against the team's limit.
func (p *planner) chargeQuota(job *Job, tasks int) {
	p.teams[job.Team].Used = p.teams[job.Team].Used.Minus(job.Request, -tasks)
}

func tasksWithinQuota(t *Team, need Resources) int {
	n := math.MaxInt32
	for _, q := range [][3]float64{{t.Max.Cores, t.Used.Cores, need.Cores}, {t.Max.GPUs, t.Used.GPUs, need.GPUs}} {
		if q[0] > 0 && q[2] > 0 {
			n = min(n, int(math.Floor((q[0]-q[1])/q[2]+eps)))
		}
	}
	return max(0, n)
}
