package scheduler

import "math"

// quotas is the use that each team makes of its quota, with what the plan starts.
type quotas []Team

// tasksWithin is how many more tasks the quota of a team allows. Memory is not limited.
func (q quotas) tasksWithin(team int, request Resources) int {
	limit, used := q[team].Max, q[team].Used
	return max(0, min(
		tasksWithinLimit(limit.Cores, used.Cores, request.Cores),
		tasksWithinLimit(limit.GPUs, used.GPUs, request.GPUs)))
}

// charge counts tasks that the plan starts against the quota of their team.
func (q quotas) charge(team int, request Resources, tasks int) {
	q[team].Used = q[team].Used.Minus(request, -tasks)
}

// tasksWithinLimit is how many tasks one resource allows; a limit of 0 is none.
func tasksWithinLimit(limit, used, request float64) int {
	if limit <= 0 {
		return math.MaxInt32
	}
	return timesWithin(limit-used, request)
}
