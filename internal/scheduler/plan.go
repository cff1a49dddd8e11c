package scheduler

// Start puts Count tasks of a job on a machine.
type Start struct{ Job, Machine, Count int }

// ScaleOut requests Count machines of a pool.
type ScaleOut struct {
	CapacityPool
	Count int
}

// Preemption stops Count tasks of a job on a machine at once to make capacity.
type Preemption struct{ Machine, Job, Count int }

// Plan is the result of Decide. Jobs and machines are indices in the snapshot.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	ScaleOuts   []ScaleOut
	ScaleIns    []int // machines to return
	// JobsWithoutSlack lists the jobs (by index) whose slack is spent while some of their tasks
	// wait.
	JobsWithoutSlack []int
}
