package tuning

import "time"

// Constants of what users ask and are answered.
const (
	// MaxBody is the largest request body that PROTOCOL permits, in bytes.
	MaxBody = 64 << 10

	// MaxTasks is the largest number of tasks of a job (PROTOCOL, submission).
	MaxTasks = 100000

	// MaxName bounds names taken from users, in bytes: with a prefix they must
	// still fit in a state service key of 200 bytes.
	MaxName = 150

	// PollDeadline ends the work for a poll, whose user waits for 2 s in all.
	PollDeadline = 1700 * time.Millisecond

	// UserDeadline ends the work for one user request: a submission waits 5 s.
	UserDeadline = 3500 * time.Millisecond

	// UserRetryPause lies between two tries after a 429 of the state service;
	// a bucket of 25 changes a second refills by two in this time.
	UserRetryPause = 60 * time.Millisecond

	// UserThrottleRetries is how often a throttled user request is tried before
	// it is refused with 503: together under the 200 ms of the submission aim.
	UserThrottleRetries = 3

	// PollThrottleRetries is the same for a poll, which has 2 s and, unlike a
	// submission, comes again only seconds later.
	PollThrottleRetries = 15

	// RetryBudget is how many retries of throttled requests a node may make beyond
	// RetryShare for each request that succeeds: enough for a burst of submissions,
	// while lasting overload is not made worse by more than that share.
	RetryBudget = 60.0
	RetryShare  = 0.2

	// RetryAfterS tells refused users when to come back, in seconds.
	RetryAfterS = 1

	// FinalCache is how many final phases a node remembers (about 100 bytes
	// each).
	FinalCache = 20000

	// AcknowledgedJobs is how many jobs a node remembers that it told users are cancelled,
	// for a leader without state service: some seconds' worth of all the changes
	// that a large site's state service takes, and less than MaxBody together.
	AcknowledgedJobs = 1000

	// SegmentsRead is how many pieces of a job a poll reads; its counts of tasks are
	// for display, and it reads no more for jobs of thousands of tasks.
	SegmentsRead = 32

	// SharedReadsFor is for how long after a throttled read questions share readings of
	// all open jobs: a user asks again within about 5 s.
	SharedReadsFor = 5 * time.Second

	// SharedReadsShare is the part of the state service's requests that these readings of
	// all nodes may take together, and SharedReadsPause the longest pause between two of
	// a node: a question has PollDeadline.
	SharedReadsShare = 0.3
	SharedReadsPause = time.Second
)
