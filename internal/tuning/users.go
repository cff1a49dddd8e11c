package tuning

import "time"

// Constants of users' requests and their answers.
const (
	// MaxBody is the largest body of a request in bytes, as the interface with users says.
	MaxBody = 64 << 10

	// MaxTasks is the largest number of tasks of a job, as the interface with users says.
	MaxTasks = 100000

	// MaxName is the largest length of a name from outside in bytes. With a prefix and a
	// suffix it must fit in a key of the store, of 200 bytes.
	MaxName = 150

	// StatusCallDeadline ends the work for a user's question about a job. The user waits 2 s.
	StatusCallDeadline = 1700 * time.Millisecond

	// UserDeadline ends the work for any other request of a user. A user waits 5 s for the
	// answer to a submission.
	UserDeadline = 3500 * time.Millisecond

	// UserRetryPause is the pause before a request that the store has throttled is repeated.
	// A store that takes 25 mutations a second takes two more after this time.
	UserRetryPause = 60 * time.Millisecond

	// UserThrottleRetries is how often a throttled submission or cancellation is repeated
	// before its user gets 503: in less than 200 ms together, the time within which
	// submissions should be answered.
	UserThrottleRetries = 3

	// StatusCallThrottleRetries is the same for a question about a job, which has 2 s and, unlike
	// a submission, is asked again only seconds later.
	StatusCallThrottleRetries = 15

	// RetryBudget is how many retries of throttled requests a controller may make beyond
	// RetryShare: enough for a burst of submissions.
	RetryBudget = 60.0
	// RetryShare is how many retries each request that succeeds adds to the budget. Lasting
	// overload is made worse by no more than this share.
	RetryShare = 0.2

	// RetryAfterS is after how many seconds a user who got 503 is asked to come back: the
	// least that users wait anyway.
	RetryAfterS = 1

	// FinalStatusCacheSize is how many final phases a controller remembers, at about 100 bytes each.
	FinalStatusCacheSize = 20000

	// AcknowledgedJobs is how many cancelled jobs a controller remembers to have told users
	// of, for a leader that the store does not answer. These are some seconds' worth of all
	// mutations that a large site's store takes, and together less than MaxBody.
	AcknowledgedJobs = 1000

	// SegmentsReadMax is how many segments of a job's run record are read to answer a question
	// about the job. The counts of tasks in the answer are for display, so more need not be
	// read for jobs of thousands of tasks.
	SegmentsReadMax = 32

	// SharedReadsDuration is for how long after a throttled read questions are answered from
	// shared reads of all open jobs: a user asks again within about 5 s.
	SharedReadsDuration = 5 * time.Second
	// SharedReadsShare is the share of the store's requests that shared reads of all
	// controllers may take together.
	SharedReadsShare = 0.3
	// SharedReadsPause is the longest pause between two shared reads of a controller, well
	// within StatusCallDeadline.
	SharedReadsPause = time.Second
)
