package fake

import (
	"context"
	"net/http"
	"slices"
	"time"

	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
)

// userJob is a job as its user knows it, with what the user requested and was told.
type userJob struct {
	spec               protocol.Job
	runS               float64
	submitted          bool
	accepted           bool
	cancelRequested    bool
	cancelConfirmed    time.Time // when the user was first told that the job is cancelled
	ownCancelConfirmed time.Time // the same, for a cancellation that this user requested
	doneConfirmed      bool      // the user was told that the job is done
	finished           map[int]bool
	waitingSince       time.Time // since when the job waits beside free capacity; zero: it does not
}

// complete tells whether all tasks of the job are done.
func (j *userJob) complete() bool { return len(j.finished) >= j.spec.Tasks }

// Register adds a job as if its user had submitted it and had been told that it is accepted.
func (e *Environment) Register(job protocol.Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.jobs[job.ID] = &userJob{spec: job, submitted: true, accepted: true, finished: map[int]bool{}}
}

// Job returns a job as its user submitted it.
func (e *Environment) Job(jobID protocol.JobID) protocol.Job {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobs[jobID].spec
}

// Cancelled tells whether the user of a job requested to cancel it.
func (e *Environment) Cancelled(jobID protocol.JobID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobs[jobID].cancelRequested
}

// Submit submits a job and retries until the outcome is known or 60 seconds have passed. It
// returns the status of the last answer. A repeated submission is idempotent, so an accepted job
// that is refused later was forgotten, which is a violation.
func (e *Environment) Submit(job protocol.Job, runS float64) int {
	e.mu.Lock()
	if e.jobs[job.ID] == nil {
		e.jobs[job.ID] = &userJob{spec: job, runS: runS, finished: map[int]bool{}}
	}
	registered := e.jobs[job.ID]
	registered.submitted = true
	before := *registered
	e.mu.Unlock()
	status, jobStatus := e.sendRequest(http.MethodPost, "/v1/jobs", JobMap(&job), 5*time.Second, 60*time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	if status == http.StatusOK || status == http.StatusCreated {
		registered.accepted = true
		e.checkJobStatus(registered, before, jobStatus)
	} else if before.accepted && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity) {
		e.addViolation("forgotten: %s submitted again gets %d", job.ID, status)
	}
	return status
}

// Poll asks once for the status of a job, and checks the answer.
func (e *Environment) Poll(jobID protocol.JobID) (int, protocol.JobStatus) {
	e.mu.Lock()
	job := e.jobs[jobID]
	var before userJob // the job as the user knew it when the request was sent
	if job != nil {
		before = *job
	}
	e.mu.Unlock()
	status, jobStatus := e.sendRequest(http.MethodGet, "/v1/jobs/"+string(jobID), nil, 2*time.Second, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	job = e.jobs[jobID]
	switch {
	case status == http.StatusOK && (job == nil || !job.submitted):
		e.addViolation("invented: %s", jobID)
	case status == http.StatusNotFound && before.accepted:
		e.addViolation("forgotten: %s gets 404", jobID)
	case status == http.StatusOK:
		e.checkJobStatus(job, before, jobStatus)
	}
	return status, jobStatus
}

// Cancel cancels a job, retries until the outcome is known, and checks the answer.
func (e *Environment) Cancel(jobID protocol.JobID) (int, protocol.JobStatus) {
	e.mu.Lock()
	job := e.jobs[jobID]
	job.cancelRequested = true
	before := *job
	e.mu.Unlock()
	status, jobStatus := e.sendRequest(http.MethodPost, "/v1/jobs/"+string(jobID)+"/withdraw", nil, 5*time.Second, 120*time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	if status == http.StatusOK {
		e.checkJobStatus(job, before, jobStatus)
	}
	return status, jobStatus
}

// Refused submits a job that must not be accepted, and checks that it gets the status that the
// protocol requires. The argument change makes the job unacceptable.
func (e *Environment) Refused(job protocol.Job, change func(fields map[string]any), want int) {
	fields := JobMap(&job)
	change(fields)
	status, _ := e.sendRequest(http.MethodPost, "/v1/jobs", fields, 5*time.Second, 60*time.Second)
	answered := status > 0 && status < http.StatusInternalServerError && status != http.StatusTooManyRequests // otherwise the user would retry
	if answered && status != want {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.addViolation("accepted: a job that cannot be, %v, gets %d instead of %d", fields, status, want)
	}
}

// userClient sends the users' requests to the controllers.
type userClient struct {
	env        *Environment
	nodeAddrs  []string // addresses of the controllers' nodes
	askedAddrs []string // the nodes that users ask; nil: all
}

// NodeAddrs returns the addresses of the controllers' nodes.
func (u *userClient) NodeAddrs() []string {
	u.env.mu.Lock()
	defer u.env.mu.Unlock()
	return slices.Clone(u.nodeAddrs)
}

// SetAskedNodes sets the addresses of the nodes that users ask; without any, they ask all nodes.
func (u *userClient) SetAskedNodes(addrs ...string) {
	u.env.mu.Lock()
	defer u.env.mu.Unlock()
	u.askedAddrs = addrs
}

// askedNodes returns the addresses of the nodes that users ask.
func (u *userClient) askedNodes() []string {
	u.env.mu.Lock()
	defer u.env.mu.Unlock()
	if u.askedAddrs != nil {
		return u.askedAddrs
	}
	return u.nodeAddrs
}

// sendRequest sends a request to a random node, and retries until it gets an answer other than "try
// again" or the total time is over.
func (u *userClient) sendRequest(method, path string, body any, attemptTimeout, retryTimeout time.Duration) (int, protocol.JobStatus) {
	start := time.Now()
	for {
		nodes := u.askedNodes()
		addr := nodes[int(u.env.Network.randomFloat()*float64(len(nodes)))]
		ctx, cancel := context.WithTimeout(u.env.ctx, attemptTimeout)
		var jobStatus protocol.JobStatus
		client := httpclient.Client{HTTP: &http.Client{Transport: u.env.Network.From(u.env.ctx, "users")}}
		status := answeredStatus(client.Do(ctx, httpclient.Request{Method: method, URL: "http://" + addr + path, Body: body,
			Responses: map[int]any{http.StatusOK: &jobStatus, http.StatusCreated: &jobStatus}}))
		cancel()
		if status != 0 && status != http.StatusTooManyRequests && status < http.StatusInternalServerError {
			return status, jobStatus
		}
		if u.env.ctx.Err() != nil || time.Since(start) > retryTimeout {
			return status, jobStatus
		}
		time.Sleep(time.Second)
	}
}

// JobMap returns a job in the users' spelling, with a field of an unknown name, which the
// controllers must ignore. Fields without a value are left out or null, as the protocol allows.
func JobMap(job *protocol.Job) map[string]any {
	fields := map[string]any{"ref": job.ID, "workload": job.Class, "owner": job.Team, "shape": job.Kind, "rank": job.Priority,
		"pieces": job.Tasks, "cores": job.Cores, "cards": job.GPUs, "memGb": job.MemGB, "bundle": job.Image,
		"imageGb": job.ImageGB, "samePlace": job.OneZone, "spread": job.Spread, "loaners": job.Spot,
		"guessS": job.EstimateS, "snapshotS": job.CheckpointIntervalS, "flushS": job.CheckpointSaveS, "quarry": nil, "unheardOf": []int{1}}
	if job.MachineTypes != nil {
		fields["flavors"] = job.MachineTypes
	}
	if job.Zone != "" {
		fields["quarry"] = job.Zone
	}
	if job.DeadlineS > 0 {
		fields["dueS"] = job.DeadlineS
	}
	if job.DependsOn != nil {
		fields["awaits"] = job.DependsOn
	}
	return fields
}
