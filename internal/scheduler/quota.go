package scheduler

import "math"

// quotas holds the quota and the use of each team, including the tasks that the plan
// starts.
type quotas []Team

// tasksWithin returns how many more tasks the team's quota allows. Memory is not limited.
func (q quotas) tasksWithin(team int, request Resources) int {
	limit, used := q[team].Max, q[team].Used
	return max(0, min(
		tasksWithinLimit(limit.Cores, used.Cores, request.Cores),
		tasksWithinLimit(limit.GPUs, used.GPUs, request.GPUs)))
}

// charge counts tasks that the plan starts against the quota of their team. Minus with a
// negative count adds their requests to the use.
func (q quotas) charge(team int, request Resources, tasks int) {
	q[team].Used = q[team].Used.Minus(request, -tasks)
}

// tasksWithinLimit returns how many tasks the limit of one resource allows; a limit of 0
// means that the resource is not limited.
func tasksWithinLimit(limit, used, request float64) int {
	if limit <= 0 {
		return math.MaxInt32
	}
	return timesWithin(limit-used, request)
}
