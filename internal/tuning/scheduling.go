package tuning

import "time"

// Constants of when and how the leader schedules.
const (
	// CycleInterval is the least pause between two scheduling cycles. The events within this
	// pause are handled by one cycle.
	CycleInterval = 25 * time.Millisecond

	// CyclePauseFactor times the length of a cycle is the least pause to the next, so that
	// cycles take at most a fifth of the process's time.
	CyclePauseFactor = 4

	// CycleIntervalMax is the longest of these pauses: services should start within a
	// second.
	CycleIntervalMax = 400 * time.Millisecond

	// MaxStartWaitS is the number of seconds within which even the largest job must have
	// started, as the operators require.
	MaxStartWaitS = 240.0

	// StarvationMarginS is how many seconds before MaxStartWaitS a job is scheduled ahead of
	// others: about as long as a boot takes, or as a few hundred small tasks take to end.
	StarvationMarginS = 40.0

	// GangSlackFactor times the time in which enough machines become free is the time allowed
	// for a gang to start, since other gangs wait for machines as well.
	GangSlackFactor = 2.0

	// StarvationMinS is the least number of seconds that a job waits before it is scheduled
	// ahead of others: the time of a boot, for jobs whose machines were just requested.
	StarvationMinS = 30.0

	// StarvationShareLowestPriority is the share of the provisioned cores that jobs of the
	// lowest priority may have while jobs that have waited too long are scheduled ahead of
	// others.
	StarvationShareLowestPriority = 0.4

	// StarvationShare is the largest share of the provisioned cores or GPUs that is reserved
	// for jobs that have waited too long. One such job is admitted even if it is larger than
	// the share. The remaining capacity serves the other jobs.
	StarvationShare = 0.5

	// FetchAheadS is the largest number of seconds of image fetches that may be pending on a
	// machine when a task with yet another image is placed there, because fetches share the
	// machine's rate.
	FetchAheadS = 4.0

	// TickInterval is the pause between two rounds of the work that depends on time alone,
	// such as expired leases. It is short compared with all times that are checked in these
	// rounds.
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

	// SaveMarginS is added to flushS, in seconds, for the grace period of a task that saves a
	// checkpoint. It covers the transmission of the command.
	SaveMarginS = 1.0

	// NoticeMarginS is how many seconds before the end of a preemption notice a checkpoint
	// must be saved, since the notice may end early.
	NoticeMarginS = 4.0
)
