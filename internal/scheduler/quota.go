package scheduler

import "math"

// chargeQuota counts started tasks against the team's limit.
func (p *planner) chargeQuota(job *Job, tasks int) {
	p.teams[job.Team].Used = p.teams[job.Team].Used.Minus(job.Request, -tasks)
}

func tasksWithinQuota(team *Team, request Resources) int {
	n := math.MaxInt32
	for _, quota := range [][3]float64{{team.Max.Cores, team.Used.Cores, request.Cores}, {team.Max.GPUs, team.Used.GPUs, request.GPUs}} {
		if quota[0] > 0 && quota[2] > 0 {
			n = min(n, int(math.Floor((quota[0]-quota[1])/quota[2]+epsilon)))
		}
	}
	return max(0, n)
}
