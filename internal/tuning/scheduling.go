package tuning

import "time"

// Constants of when and how a leader decides.
const (
	// CycleInterval is the least time between two decision passes; events within it
	// are decided together.
	CycleInterval = 25 * time.Millisecond

	// CyclePauseFactor times what the last pass took is the least time to the next,
	// so that passes take at most a fifth of the process's time.
	CyclePauseFactor = 4

	// CycleIntervalMax bounds that pause: services should start within a second.
	CycleIntervalMax = 400 * time.Millisecond

	// MaxStartWaitS is when even the largest jobs must have begun, in seconds (the
	// operators' rule).
	MaxStartWaitS = 240.0

	// StarvationMarginS is how long before that a job goes first, in seconds: about a
	// boot, or the time in which a few hundred small tasks end.
	StarvationMarginS = 40.0

	// GangSlackFactor times the time in which as many machines fall free is allowed
	// for a gang to gather, since others gather as well.
	GangSlackFactor = 2.0

	// StarvationMinS is the least that a job waits, in seconds: a boot, for work
	// just rented for.
	StarvationMinS = 30.0

	// StarvationShareIdle is the part of the held machines' cores that the lowest
	// rank may have while its overdue jobs go before others' work.
	StarvationShareIdle = 0.4

	// StarvationShare is the part of the held machines kept for such jobs at most,
	// beyond one job: the others must be served as well.
	StarvationShare = 0.5

	// FetchAheadS is how many seconds of image fetches may be under way on a
	// machine when a task with another image is put on it.
	FetchAheadS = 4.0

	// TickInterval drives everything that depends on time alone.
	TickInterval = 500 * time.Millisecond

	// EstimatorWeight is the weight of the newest run in a class's average.
	EstimatorWeight = 0.2

	// EstimatorMin is how many completed tasks PAPER's recent average needs.
	EstimatorMin = 2

	// ErrorBackoff and ErrorBackoffMax rest a job whose task failed.
	ErrorBackoff    = 2 * time.Second
	ErrorBackoffMax = 30 * time.Second

	// SaveMargin is added to flushS when a task is told to save.
	SaveMargin = 1.0 // seconds

	// NoticeMargin is how long before the end of a notice a save must be over.
	NoticeMargin = 4.0 // seconds
)
