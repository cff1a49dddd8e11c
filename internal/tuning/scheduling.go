package tuning

import "time"

// Constants of when and how the leader schedules.
const (
	// CycleInterval is the least pause between two scheduling cycles. Events within it are
	// decided together.
	CycleInterval = 25 * time.Millisecond

	// CyclePauseFactor times the length of a cycle is the least pause to the next, so that
	// cycles take at most a fifth of the process's time.
	CyclePauseFactor = 4

	// CycleIntervalMax is the longest of these pauses: services should start within a
	// second.
	CycleIntervalMax = 400 * time.Millisecond

	// MaxStartWaitS is after how many seconds even the largest job must have begun, as the
	// operators demand.
	MaxStartWaitS = 240.0

	// StarvationMarginS is how many seconds before MaxStartWaitS a job goes before others:
	// about as long as a boot, or as a few hundred small tasks take to end.
	StarvationMarginS = 40.0

	// GangSlackFactor times the time in which enough machines become free is allowed for a
	// gang to start, since other gangs wait for machines as well.
	GangSlackFactor = 2.0

	// StarvationMinS is the least number of seconds that a job waits before it goes before
	// others: a boot, for jobs whose machines were just requested.
	StarvationMinS = 30.0

	// StarvationShareLowestPriority is the share of the provisioned cores that jobs of the lowest
	// priority may have while those that have waited too long go before others.
	StarvationShareLowestPriority = 0.4

	// StarvationShare is the largest share of the provisioned machines that is reserved for
	// jobs that have waited too long, beyond one job. The others must be served as well.
	StarvationShare = 0.5

	// FetchAheadS is how many seconds of image fetches may be under way on a machine when a
	// task with yet another image is placed there: fetches share the machine's rate.
	FetchAheadS = 4.0

	// TickInterval is the pause between two rounds of the work that depends on time alone,
	// such as expired leases. It is short beside all times that are observed this way.
	TickInterval = 500 * time.Millisecond

	// EstimatorWeight is the weight of the newest run in the moving average of a class's
	// run times: about the last ten runs count.
	EstimatorWeight = 0.2

	// EstimatorMin is how many completed tasks of a class are needed for its average to
	// replace the owner's estimate.
	EstimatorMin = 2

	// ErrorBackoff is how long a job is not started again after its first failed task.
	ErrorBackoff = 2 * time.Second
	// ErrorBackoffMax is the longest such pause; it doubles with each failure.
	ErrorBackoffMax = 30 * time.Second

	// SaveMarginS is added to flushS, in seconds, for the grace period of a task that saves
	// a checkpoint, for the way of the command.
	SaveMarginS = 1.0

	// NoticeMarginS is how many seconds before the end of a preemption notice a checkpoint
	// must be saved, since the notice may end early.
	NoticeMarginS = 4.0
)
