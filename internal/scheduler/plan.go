package scheduler

// Start puts Count tasks of a job on a machine.
type Start struct{ Job, Machine, Count int }

// ScaleOut asks for Count machines.
type ScaleOut struct {
	CapacityPool
	Count int
}

// Preemption makes room: Count tasks of Job on Machine are stopped, at once.
type Preemption struct{ Machine, Job, Count int }

// Plan is what to do.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	ScaleOuts   []ScaleOut
	ScaleIns    []int
	// SlackSpent marks jobs (by index) whose slack is spent while tasks wait.
	SlackSpent []int
}
