package tuning

import "time"

// Constants of users' requests and their answers.
const (
	// MaxBody is the largest body of a request in bytes, as the interface with users
	// specifies.
	MaxBody = 64 << 10

	// MaxTasks is the largest number of tasks of a job, as the interface with users
	// specifies.
	MaxTasks = 100000

	// MaxName is the largest length in bytes of a name that users or agents send. With a
	// prefix and a suffix it must fit in a key of the store, which has at most 200 bytes.
	MaxName = 150

	// StatusCallDeadline ends the work for a user's query about a job. The user waits 2 s for
	// the answer.
	StatusCallDeadline = 1700 * time.Millisecond

	// UserDeadline ends the work for any other request of a user. A user waits 5 s for the
	// answer to a submission.
	UserDeadline = 3500 * time.Millisecond

	// UserRetryPause is the pause before a request that the store has throttled is repeated.
	// A store that accepts 25 mutations a second accepts two more after this time.
	UserRetryPause = 60 * time.Millisecond

	// UserThrottleRetries is how often a throttled submission or cancellation is repeated
	// before its user gets 503. The retries take less than 200 ms together, the time within
	// which submissions should be answered.
	UserThrottleRetries = 3

	// StatusCallThrottleRetries is how often a throttled query about a job is repeated. The
	// user waits 2 s for the answer and, unlike after a failed submission, asks again only
	// seconds later.
	StatusCallThrottleRetries = 15

	// RetryBudget is how many retries of throttled requests a controller may make beyond
	// RetryShare: enough for a burst of submissions.
	RetryBudget = 60.0
	// RetryShare is how many retries each request that succeeds adds to the budget. Retries
	// increase the load of a lasting overload by no more than this share.
	RetryShare = 0.2

	// RetryAfterS is the number of seconds after which a user who got 503 is asked to repeat
	// the request: the least time that users wait in any case.
	RetryAfterS = 1

	// JobCacheSize is the number of final phases that a controller caches, at about 100
	// bytes each, and also the number of jobs that it caches as confirmed open.
	JobCacheSize = 20000

	// AcknowledgedJobs is the number of cancelled jobs that a controller keeps after it has
	// acknowledged their cancellation to users, for a leader that gets no answer from the
	// store. These are some seconds' worth of all mutations that a large site's store
	// accepts, and their list is smaller than MaxBody.
	AcknowledgedJobs = 1000

	// SegmentsReadMax is the largest number of segments of a job's run record that are read
	// to answer a query about the job. The counts of tasks in the answer are for display, so
	// more need not be read for jobs of thousands of tasks.
	SegmentsReadMax = 32

	// SharedReadsDuration is how long after a throttled read queries are answered from shared
	// reads of all open jobs. A user repeats a query within about 5 s.
	SharedReadsDuration = 5 * time.Second
	// SharedReadsShare is the share of the store's requests that shared reads of all
	// controllers may take together.
	SharedReadsShare = 0.3
	// SharedReadsPause is the longest pause between two shared reads of a controller, well
	// within StatusCallDeadline.
	SharedReadsPause = time.Second
)
