package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

// SetStep sets the interval at which a machine advances its tasks.
func (e *Environment) SetStep(step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step = step
}

// currentStep returns the interval at which a machine advances its tasks.
func (e *Environment) currentStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.step
}

// SetRunTimeIncrement sets the share of the job's run time by which each task of an array runs
// longer than the task before it.
func (e *Environment) SetRunTimeIncrement(increment float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runTimeIncrement = increment
}

// SetOnJobDone sets a function that is called, in a goroutine of its own, when the last task of
// a job has completed.
func (e *Environment) SetOnJobDone(onJobDone func(jobID protocol.JobID)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onJobDone = onJobDone
}

// SavedCheckpoints returns how many tasks stopped with a checkpoint.
func (e *Environment) SavedCheckpoints() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.savedCheckpoints
}

// LeaseExpiriesWithTasks returns how many leases expired while the agent had tasks.
func (e *Environment) LeaseExpiriesWithTasks() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaseExpiries
}
